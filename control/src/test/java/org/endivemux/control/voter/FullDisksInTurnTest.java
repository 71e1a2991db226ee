package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.control.voter.FullDiskSimulation.MILLI;
import static org.endivemux.control.voter.FullDiskSimulation.SECOND;

import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.control.voter.FullDiskSimulation.Node;
import org.endivemux.control.voter.FullDiskSimulation.Operation;

/** Checks that changes go on while disks refuse operations one after another, and afterwards. */
final class FullDisksInTurnTest {
  private static final long ACK_LIMIT = 4 * SECOND;
  private static final long CHANGE_INTERVAL = 200 * MILLI;
  private static final int ROUNDS = 3;
  private static final long RECOVERY_AFTER_EXIT = 4 * SECOND;

  /** Guards against changes that are refused or unanswered after full disks, one after another. */
  @Property(tries = 12, seed = "20261205")
  void fullDisksInTurnLeaveEveryVoterCounting(
      @ForAll @IntRange(min = 0, max = 1) int large, @ForAll long seed) {
    Set<Operation> full = EnumSet.complementOf(EnumSet.of(Operation.SYNC));
    play(3 + 2 * large, seed, List.of(full, EnumSet.of(Operation.WRITE)), 0);
  }

  /** Guards against a voter that stays behind or ends since its disk refused one operation. */
  @Property(tries = 12, seed = "20261206")
  void singleRefusedOperationsInTurnLeaveEveryVoterCounting(
      @ForAll @IntRange(min = 0, max = 1) int large, @ForAll long seed) {
    List<Set<Operation>> single =
        List.of(
            EnumSet.of(Operation.OPEN),
            EnumSet.of(Operation.WRITE),
            EnumSet.of(Operation.MOVE),
            EnumSet.of(Operation.DELETE));
    play(3 + 2 * large, seed, single, 0);
  }

  /** Guards against a loss of acknowledged changes when refused syncs end voters in turn. */
  @Property(tries = 12, seed = "20261207")
  void refusedSyncsInTurnLeaveEveryVoterCounting(
      @ForAll @IntRange(min = 0, max = 1) int large, @ForAll long seed) {
    Set<Operation> all = EnumSet.allOf(Operation.class);
    play(3 + 2 * large, seed, List.of(EnumSet.of(Operation.SYNC), all), RECOVERY_AFTER_EXIT);
  }

  /** Guards against terms that run away while a candidate lacks only a vote that a disk refuses. */
  @Example
  void termStaysWhileTheOnlyOtherVoterCannotWrite() {
    try (FullDiskSimulation voters = new FullDiskSimulation(3, 0, 1)) {
      voters.runFor(10 * SECOND);
      int leader = voters.leader().orElseThrow().number();
      long term = voters.highestTerm();
      voters.refuse((leader + 1) % 3, EnumSet.of(Operation.WRITE));
      voters.crash(leader);
      voters.runFor(30 * SECOND);
      assertThat(voters.leader()).isEmpty();
      assertThat(voters.highestTerm() - term).isLessThanOrEqualTo(2);
      voters.makeRoom((leader + 1) % 3);
      String change = voters.propose();
      voters.runFor(ACK_LIMIT);
      assertThat(voters.acknowledgedAfter()).containsKey(change);
    }
  }

  private static void play(int size, long seed, List<Set<Operation>> refusals, long pause) {
    Random random = new Random(seed);
    try (FullDiskSimulation voters = new FullDiskSimulation(size, 0.02 * random.nextInt(2), seed)) {
      voters.runFor(10 * SECOND);
      voters.startOperator(CHANGE_INTERVAL);
      voters.runFor(SECOND);
      long term = voters.highestTerm();
      IntStream.range(0, ROUNDS).forEach(i -> round(voters, size, random, refusals, pause));
      assertThat(voters.highestTerm() - term)
          .as("terms")
          .isLessThanOrEqualTo(2L * (voters.depositions() + voters.exits()));
      if (pause == 0) {
        assertThat(voters.exits()).as("exits").isZero();
      }
      voters.runFor(ACK_LIMIT);
      voters.stopOperator();
      voters.runFor(ACK_LIMIT);
      assertAcknowledgedInTime(voters);
      assertAllCount(voters);
      IntStream.range(0, size).forEach(i -> assertAcknowledgesWithout(voters, i));
      assertNothingLostByARestart(voters, size);
    }
  }

  private static void round(
      FullDiskSimulation voters,
      int size,
      Random random,
      List<Set<Operation>> refusals,
      long pause) {
    List<Integer> turns = IntStream.range(0, size).boxed().collect(Collectors.toList());
    Collections.shuffle(turns, random);
    turns.forEach(
        node -> {
          voters.refuse(node, refusals.get(random.nextInt(refusals.size())));
          voters.runFor(random.nextInt(1000) * MILLI);
          if (random.nextInt(3) == 0) {
            voters.deposeLeader();
          }
          voters.runFor((1000 + random.nextInt(5000)) * MILLI);
          boolean quiet = random.nextBoolean();
          if (quiet) {
            voters.stopOperator();
          }
          voters.makeRoom(node);
          voters.runFor(pause + (long) random.nextInt(2) * random.nextInt(500) * MILLI);
          if (quiet) {
            voters.runFor(ACK_LIMIT);
            assertAllCount(voters);
            voters.startOperator(CHANGE_INTERVAL);
          }
          assertAcknowledgedInTime(voters);
        });
  }

  private static void assertAcknowledgedInTime(FullDiskSimulation voters) {
    assertThat(voters.unacknowledged(ACK_LIMIT)).as("unanswered; %s", voters.nodes()).isEmpty();
    assertThat(voters.acknowledgedAfter().values()).allMatch(nanos -> nanos <= ACK_LIMIT);
  }

  /** Every voter has told the leader that it has synced the whole log. */
  private static void assertAllCount(FullDiskSimulation voters) {
    Node leader = voters.leader().orElseThrow();
    long last = leader.status().lastIndex();
    assertThat(voters.nodes())
        .as("log up to %d synced and reported", last)
        .allMatch(node -> node == leader || node.acknowledgedIndex() == last)
        .allMatch(node -> node.status().commit() == last);
  }

  private static void assertAcknowledgesWithout(FullDiskSimulation voters, int node) {
    voters.crash(node);
    String change = voters.propose();
    voters.runFor(ACK_LIMIT);
    assertThat(voters.acknowledgedAfter()).as("without vm" + node).containsKey(change);
    voters.restart(node);
    voters.runFor(ACK_LIMIT);
  }

  private static void assertNothingLostByARestart(FullDiskSimulation voters, int size) {
    IntStream.range(0, size).forEach(voters::crash);
    IntStream.range(0, size).forEach(voters::restart);
    voters.runFor(10 * SECOND);
    voters.propose();
    voters.runFor(ACK_LIMIT);
    IntStream.range(0, size).forEach(i -> assertThat(voters.lostAt(i)).isEmpty());
    assertThat(voters.unacknowledged(ACK_LIMIT)).isEmpty();
  }
}
