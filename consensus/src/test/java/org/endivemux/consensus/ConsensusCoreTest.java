package org.endivemux.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.consensus.ClusterSimulation.MILLI;

import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests elections, recovery and safety under scheduled and random faults. */
final class ConsensusCoreTest {
  private static final long SECOND = 1000 * MILLI;

  @Example
  void threeBlankMembersFormAndElect() {
    ClusterSimulation cluster = formed(3, 1);
    assertThat(cluster.leader()).isPresent();
  }

  @Example
  void twoOfThreeBlankMembersDoNotForm() {
    ClusterSimulation cluster = new ClusterSimulation(3, 1);
    cluster.crash(2);
    cluster.runFor(20 * SECOND);
    assertThat(cluster.leader()).isEmpty();
  }

  @Example
  void memberWithEmptyDiskJoinsAndASecondLossLeavesAQuorum() {
    ClusterSimulation cluster = formed(3, 7);
    cluster.propose("a");
    cluster.runFor(SECOND);
    loseDiskAndRejoin(cluster);
    assertCommitsWithOneMemberDown(cluster);
  }

  @Example
  void memberThatLosesItsDiskTwiceJoinsTwice() {
    ClusterSimulation cluster = formed(3, 11);
    cluster.propose("a");
    cluster.runFor(SECOND);
    loseDiskAndRejoin(cluster);
    loseDiskAndRejoin(cluster);
    assertCommitsWithOneMemberDown(cluster);
  }

  private static void loseDiskAndRejoin(ClusterSimulation cluster) {
    assertThat(cluster.loseDisk(0)).isTrue();
    cluster.runFor(10 * SECOND);
    assertThat(cluster.hasFullMembership()).isTrue();
  }

  private static void assertCommitsWithOneMemberDown(ClusterSimulation cluster) {
    cluster.crash(1);
    cluster.runFor(5 * SECOND);
    cluster.propose("b");
    cluster.runFor(SECOND);
    assertThat(cluster.hasCommitted("a")).isTrue();
    assertThat(cluster.hasCommitted("b")).isTrue();
  }

  @Example
  void memberBackFromALongPartitionDoesNotDeposeTheLeader() {
    ClusterSimulation cluster = formed(3, 3);
    int leader = cluster.leader().orElseThrow().number;
    long term = cluster.leader().orElseThrow().status().term();
    cluster.isolate((leader + 1) % 3);
    cluster.runFor(60 * SECOND);
    cluster.heal();
    cluster.runFor(5 * SECOND);
    assertThat(cluster.leader().orElseThrow().status().term()).isEqualTo(term);
  }

  @Example
  void partitionedLeaderLosesItsLeaseAndAnotherIsElected() {
    ClusterSimulation cluster = formed(3, 5);
    int old = cluster.leader().orElseThrow().number;
    cluster.isolate(old);
    cluster.runFor(5 * SECOND);
    assertThat(cluster.leader().orElseThrow().number).isNotEqualTo(old);
  }

  @Example
  void memberCutOffFromOnlyTheLeaderDoesNotDeposeIt() {
    ClusterSimulation cluster = formed(3, 9);
    int leader = cluster.leader().orElseThrow().number;
    long term = cluster.leader().orElseThrow().status().term();
    cluster.cutLink(leader, (leader + 1) % 3);
    cluster.runFor(60 * SECOND);
    assertThat(cluster.leader().orElseThrow().number).isEqualTo(leader);
    assertThat(cluster.leader().orElseThrow().status().term()).isEqualTo(term);
  }

  @Property(tries = 60, seed = "20261204")
  void safetyHoldsUnderRandomFaultsAndALeaderReturns(
      @ForAll @IntRange(min = 0, max = 1) int large, @ForAll long seed) {
    int size = large == 1 ? 5 : 3;
    Random random = new Random(seed);
    ClusterSimulation cluster = formed(size, seed);
    IntStream.range(0, 80).forEach(round -> faultyRound(cluster, random, size, round));
    cluster.heal();
    cluster.runFor(20 * SECOND);
    cluster.propose("last");
    cluster.runFor(5 * SECOND);
    assertThat(cluster.allApplied("last")).isTrue();
    assertThat(cluster.hasFullMembership()).isTrue();
  }

  private static void faultyRound(ClusterSimulation cluster, Random random, int size, int round) {
    int node = random.nextInt(size);
    switch (random.nextInt(12)) {
      case 0 -> cluster.crash(node);
      case 1 -> cluster.restart(node);
      case 2 -> cluster.isolate(node);
      case 3 -> cluster.freeze(node);
      case 4 -> cluster.setMessageLoss(random.nextDouble() * 0.5);
      case 5 -> cluster.loseDisk(node);
      case 6 -> cluster.compact(node);
      case 7, 8 -> powerCut(cluster, random, size, round);
      case 9 -> cluster.cutLink(node, (node + 1) % size);
      default -> cluster.heal();
    }
    cluster.propose("r" + round);
    cluster.runFor(random.nextInt(2000) * MILLI);
  }

  /** Crashes all members while syncs are in progress, then restarts all but one. */
  private static void powerCut(ClusterSimulation cluster, Random random, int size, int round) {
    cluster.propose("cut" + round);
    cluster.runFor(random.nextInt(40) * MILLI);
    IntStream.range(0, size).forEach(cluster::crash);
    int down = random.nextInt(size);
    IntStream.range(0, size).filter(node -> node != down).forEach(cluster::restart);
  }

  private static ClusterSimulation formed(int size, long seed) {
    ClusterSimulation cluster = new ClusterSimulation(size, seed);
    cluster.runFor(10 * SECOND);
    return cluster;
  }
}
