package org.endivemux.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.consensus.ClusterSimulation.MILLI;

import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Tests that members form from contacts, join, are replaced and rejoin. */
final class OpenMembershipTest {
  private static final long SECOND = 1000 * MILLI;

  @Example
  void contactsFormAndOtherMembersBecomeVoters() {
    ClusterSimulation cluster = ClusterSimulation.open(3, 2, 11);
    cluster.runFor(10 * SECOND);
    assertThat(cluster.voters()).containsExactlyInAnyOrder(0, 1, 2, 3, 4);
  }

  @Example
  void blankMembersWithoutPermissionNeverForm() {
    ClusterSimulation cluster = new ClusterSimulation(0, 12);
    IntStream.range(0, 3).forEach(i -> cluster.add(3, false));
    cluster.runFor(30 * SECOND);
    assertThat(cluster.leader()).isEmpty();
  }

  @Example
  void newMemberReplacesACrashedVoter() {
    ClusterSimulation cluster = ClusterSimulation.open(3, 2, 13);
    cluster.runFor(10 * SECOND);
    cluster.crash(1);
    int successor = cluster.add(3, false);
    cluster.runFor(15 * SECOND);
    assertThat(cluster.voters()).containsExactlyInAnyOrder(0, 2, 3, 4, successor);
  }

  @Example
  void twoLossesAfterAReplacementLeaveAQuorum() {
    ClusterSimulation cluster = ClusterSimulation.open(3, 2, 14);
    cluster.runFor(10 * SECOND);
    cluster.crash(0);
    cluster.add(3, false);
    cluster.runFor(15 * SECOND);
    cluster.crash(2);
    cluster.crash(3);
    cluster.runFor(10 * SECOND);
    cluster.propose("after");
    cluster.runFor(2 * SECOND);
    assertThat(cluster.hasCommitted("after")).isTrue();
  }

  @Example
  void silentVoterStaysUntilItIsReplaced() {
    ClusterSimulation cluster = ClusterSimulation.open(3, 2, 15);
    cluster.runFor(10 * SECOND);
    cluster.crash(4);
    cluster.runFor(60 * SECOND);
    assertThat(cluster.voters()).hasSize(5);
  }

  @Example
  void removedMemberRejoinsAsAVoter() {
    ClusterSimulation cluster = ClusterSimulation.open(3, 2, 16);
    cluster.runFor(10 * SECOND);
    cluster.isolate(1);
    cluster.add(3, false);
    cluster.runFor(20 * SECOND);
    assertThat(cluster.voters()).doesNotContain(1).hasSize(5);
    cluster.heal();
    cluster.runFor(20 * SECOND);
    assertThat(cluster.voters()).contains(1);
  }

  @Example
  void joinerFindsTheLeaderWhenOnlyOneContactIsLeft() {
    ClusterSimulation cluster = ClusterSimulation.open(3, 2, 17);
    cluster.runFor(10 * SECOND);
    cluster.crash(0);
    cluster.crash(1);
    int joiner = cluster.add(3, false);
    cluster.runFor(20 * SECOND);
    assertThat(cluster.voters()).contains(joiner);
  }
}
