package org.endivemux.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.consensus.ClusterSimulation.MILLI;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that voters that are lost for good, one at a time, are replaced in time: a lost voter
 * counts as lost until {@link #CATCH_UP} after its successor has started, and then the next may be
 * lost.
 */
final class ReplacementTest {
  private static final long SECOND = 1000 * MILLI;
  private static final long CATCH_UP = 4 * SECOND;
  private static final long CHANGE_INTERVAL = 300 * MILLI;
  private static final int CONTACTS = 3;

  /** Which voter is lost. */
  private enum Victim {
    LEADER,
    FOLLOWER,
    OLDEST
  }

  // Guards against lost voters that keep their votes when each loss takes the leader.
  @Example
  void lostLeadersAreReplacedOneAfterTheOther() {
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, 2, 21);
    cluster.runFor(10 * SECOND);
    IntStream.range(0, 6)
        .forEach(
            round -> {
              replace(cluster, leader(cluster), SECOND);
              assertThat(cluster.tolerance()).as("after round " + round).isPositive();
            });
    assertThat(cluster.voters()).hasSize(5);
  }

  // Guards against a membership that is worn out by losses, whoever is lost and however often.
  @Property(tries = 50, seed = "20261207")
  void anyNumberOfLossesIsTolerated(
      @ForAll @IntRange(min = 0, max = 2) int size, @ForAll long seed) {
    int voters = List.of(3, 5, 9).get(size);
    Random random = new Random(seed);
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, voters - CONTACTS, seed);
    cluster.runFor(15 * SECOND);
    List<String> acknowledged = new ArrayList<>();
    for (int round = 0; round < 25; round++) {
      Victim kind = Victim.values()[random.nextInt(Victim.values().length)];
      int victim = victim(cluster, kind, random);
      loseWithChanges(cluster, victim, random.nextInt(2000) * MILLI, "r" + round, acknowledged);
      assertThat(cluster.tolerance()).as("after round %d, %s lost", round, kind).isPositive();
      assertThat(acknowledged).as("changes of round " + round).anyMatch(startingWith(round));
    }
    cluster.propose("last");
    cluster.runFor(3 * SECOND);
    assertThat(cluster.allApplied("last")).isTrue();
    assertThat(cluster.voters()).hasSize(voters);
    assertThat(acknowledged).allMatch(change -> cluster.wasAppliedEverywhere(change));
  }

  private static Predicate<String> startingWith(int round) {
    return change -> change.startsWith("r" + round + "-");
  }

  // Guards against more removals than there are new members while several voters are cut off.
  @Example
  void twoCutOffVotersLoseAtMostOneVoteToOneNewMember() {
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, 2, 23);
    cluster.runFor(10 * SECOND);
    List<Integer> cut = followers(cluster).subList(0, 2);
    cut.forEach(cluster::isolate);
    int added = cluster.add(Set.of(leader(cluster)), false);
    cluster.runFor(20 * SECOND);
    assertThat(cluster.voters()).hasSize(5).contains(added);
    assertThat(cut.stream().filter(cluster.voters()::contains)).hasSize(1);
    cluster.heal();
    cluster.runFor(10 * SECOND);
    assertThat(cluster.voters()).hasSize(6);
  }

  // Guards against a planned replacement, which starts the successor first, that adds a vote for
  // good.
  @Property(tries = 10, seed = "20261208")
  void plannedReplacementsLeaveAsManyVoters(@ForAll long seed) {
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, 2, seed);
    cluster.runFor(10 * SECOND);
    for (int round = 0; round < 8; round++) {
      int leaving = leader(cluster);
      cluster.add(contacts(cluster), false);
      cluster.runFor(CATCH_UP);
      cluster.remove(leaving);
      cluster.runFor(CATCH_UP);
      assertThat(cluster.tolerance()).as("after round " + round).isPositive();
      assertThat(cluster.voters()).hasSize(5);
    }
  }

  // Guards against a removed voter that disturbs the others when it is back, or that stays outside.
  @Property(tries = 20, seed = "20261209")
  void removedVoterThatIsBackJoinsAgainWithinTheCatchUpTime(@ForAll long seed) {
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, 2, seed);
    cluster.runFor(10 * SECOND);
    int frozen = followers(cluster).get(0);
    cluster.freeze(frozen);
    cluster.add(contacts(cluster), false);
    cluster.runFor(CATCH_UP);
    assertThat(cluster.voters()).doesNotContain(frozen).hasSize(5);
    int leader = leader(cluster);
    long term = cluster.leader().orElseThrow().status().term();
    cluster.thaw(frozen);
    cluster.runFor(CATCH_UP);
    assertThat(cluster.voters()).contains(frozen);
    assertThat(leader(cluster)).isEqualTo(leader);
    assertThat(cluster.leader().orElseThrow().status().term()).isEqualTo(term);
  }

  // Guards against a restarting voter that loses its vote although no member waits for one.
  @Property(tries = 10, seed = "20261210")
  void restartsInTurnRemoveNobody(@ForAll long seed) {
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, 2, seed);
    cluster.runFor(10 * SECOND);
    for (int node = 0; node < 5; node++) {
      cluster.crash(node);
      cluster.runFor(3 * SECOND);
      assertThat(cluster.voters()).hasSize(5);
      cluster.restart(node);
      cluster.runFor(CATCH_UP);
    }
    assertThat(cluster.voters()).containsExactlyInAnyOrder(0, 1, 2, 3, 4);
  }

  // Guards against a group without a quorum when a disk is wiped beside a replacement.
  @Property(tries = 20, seed = "20261211")
  void wipedDiskBesideAReplacementIsTolerated(@ForAll long seed) {
    Random random = new Random(seed);
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, 2, seed);
    cluster.runFor(10 * SECOND);
    for (int round = 0; round < 10; round++) {
      List<Integer> followers = followers(cluster);
      assertThat(cluster.loseDisk(followers.get(random.nextInt(2)))).isTrue();
      cluster.runFor(random.nextInt(1000) * MILLI);
      replace(cluster, followers.get(2 + random.nextInt(2)), random.nextInt(2000) * MILLI);
      cluster.runFor(SECOND);
      assertThat(cluster.hasFullMembership()).as("after round " + round).isTrue();
      assertThat(cluster.voters()).hasSize(5);
    }
  }

  // Guards against a lost change or quorum when a new member meets a split into halves.
  @Property(tries = 20, seed = "20261212")
  void newMemberBesideASplitCostsNothing(@ForAll long seed) {
    Random random = new Random(seed);
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, 2, seed);
    cluster.runFor(10 * SECOND);
    cluster.propose("before");
    cluster.runFor(SECOND);
    int lost = followers(cluster).get(0);
    cluster.remove(lost);
    List<Integer> left = new ArrayList<>(cluster.remaining());
    List<Integer> right = List.of(left.remove(random.nextInt(4)), left.remove(random.nextInt(3)));
    int added = cluster.add(Set.copyOf(cluster.remaining()), false);
    cluster.runFor(random.nextInt(1500) * MILLI);
    List<Integer> withAdded = random.nextBoolean() ? left : new ArrayList<>(right);
    withAdded.add(added);
    Set<Integer> others = new HashSet<>(cluster.remaining());
    others.removeAll(withAdded);
    withAdded.forEach(one -> others.forEach(other -> cluster.cutLink(one, other)));
    cluster.runFor(random.nextInt(20) * SECOND);
    cluster.heal();
    cluster.runFor(10 * SECOND);
    cluster.propose("after");
    cluster.runFor(SECOND);
    assertThat(cluster.allApplied("before;after")).isTrue();
    assertThat(cluster.hasFullMembership()).isTrue();
  }

  // Guards against voters that are lost for good to a kill of all, from which they are back
  // unevenly.
  @Property(tries = 20, seed = "20261213")
  void allVotersKilledBesideAReplacementAreBack(@ForAll long seed) {
    Random random = new Random(seed);
    ClusterSimulation cluster = ClusterSimulation.open(CONTACTS, 2, seed);
    cluster.runFor(10 * SECOND);
    cluster.propose("before");
    cluster.runFor(SECOND);
    cluster.remove(followers(cluster).get(0));
    cluster.runFor(random.nextInt(1000) * MILLI);
    cluster.add(contacts(cluster), false);
    cluster.runFor(random.nextInt(3000) * MILLI);
    List<Integer> all = cluster.remaining();
    all.forEach(cluster::crash);
    all.forEach(node -> cluster.at(random.nextInt(6000) * MILLI, () -> cluster.restart(node)));
    cluster.runFor(18 * SECOND);
    cluster.propose("after");
    cluster.runFor(SECOND);
    assertThat(cluster.allApplied("before;after")).isTrue();
    assertThat(cluster.hasFullMembership()).isTrue();
    assertThat(cluster.voters()).hasSize(5);
  }

  private static void replace(ClusterSimulation cluster, int victim, long successorDelay) {
    loseWithChanges(cluster, victim, successorDelay, "x", new ArrayList<>());
  }

  /** Loses a voter, starts its successor and runs until the next voter may be lost. */
  private static void loseWithChanges(
      ClusterSimulation cluster,
      int victim,
      long successorDelay,
      String prefix,
      List<String> acknowledged) {
    cluster.propose(prefix + "-at-loss");
    cluster.runFor(20 * MILLI);
    boolean isAcknowledged = cluster.hasCommitted(prefix + "-at-loss");
    cluster.remove(victim);
    if (isAcknowledged) {
      acknowledged.add(prefix + "-at-loss");
    }
    cluster.at(successorDelay, () -> cluster.add(contacts(cluster), false));
    long intervals = (successorDelay + CATCH_UP) / CHANGE_INTERVAL;
    for (int i = 0; i < intervals; i++) {
      String change = prefix + "-" + i;
      cluster.propose(change);
      cluster.runFor(CHANGE_INTERVAL);
      if (cluster.hasCommitted(change)) {
        acknowledged.add(change);
      }
    }
    cluster.runFor((successorDelay + CATCH_UP) % CHANGE_INTERVAL);
  }

  /** Returns the contacts that a new member is told: three of the members, the oldest first. */
  private static Set<Integer> contacts(ClusterSimulation cluster) {
    return Set.copyOf(cluster.remaining().subList(0, CONTACTS - 1));
  }

  private static int victim(ClusterSimulation cluster, Victim kind, Random random) {
    return switch (kind) {
      case LEADER -> leader(cluster);
      case FOLLOWER -> followers(cluster).get(random.nextInt(followers(cluster).size()));
      case OLDEST -> cluster.remaining().get(0);
    };
  }

  private static int leader(ClusterSimulation cluster) {
    return cluster.leader().orElseThrow().number;
  }

  private static List<Integer> followers(ClusterSimulation cluster) {
    int leader = leader(cluster);
    return cluster.remaining().stream().filter(node -> node != leader).toList();
  }
}
