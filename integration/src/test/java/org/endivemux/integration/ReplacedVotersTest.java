package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Replaces voters, which are lost with their disks for good, one after the other. */
final class ReplacedVotersTest {
  private static final int REPLACEMENTS = 4;

  // Guards against a group that is worn out by losses of its leaders, and against voters that find
  // no
  // leader once all contacts of their settings are lost.
  @Example
  void changesGoOnAfterAllFirstVotersWereReplaced() {
    try (GatewayFleet fleet = new GatewayFleet(1, 2)) {
      fleet.start();
      IntStream.rangeClosed(1, REPLACEMENTS).forEach(round -> replaceLeader(fleet, round));
      fleet.voters.forEach(
          voter -> {
            Await.until("a read at " + voter.name, () -> reads(fleet, voter));
            Await.until(
                "a change at " + voter.name,
                () ->
                    fleet.operator.put(
                        fleet.operatorAddress(voter), 1000L + fleet.voters.indexOf(voter)));
          });
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  private static boolean reads(GatewayFleet fleet, Vm voter) {
    return fleet.operator.read(fleet.operatorAddress(voter)).isPresent();
  }

  private static void replaceLeader(GatewayFleet fleet, int round) {
    Await.until("a leader", () -> fleet.leader().isPresent());
    long before = fleet.membershipIndex();
    fleet.replaceVoter(fleet.leader().orElse(0));
    Await.until("replacement " + round, () -> fleet.isWholeAfter(before));
    Await.until(
        "a change after replacement " + round,
        () ->
            fleet.voters.stream()
                .anyMatch(voter -> fleet.operator.put(fleet.operatorAddress(voter), 10L * round)));
  }
}
