package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** Tests changes while the disks of the voters are full one after another, and afterwards. */
final class FullDisksInTurnTest {
  private static final int ROUNDS = 3;
  private static final int CHANGES_DURING_A_FULL_DISK = 5;
  private static final Duration MIN_FULL = Duration.ofSeconds(2);

  private final GatewayFleet fleet = new GatewayFleet(1, 2);
  private long version = 1;

  /** Guards against changes that are refused or unanswered after full disks, one after another. */
  @Example
  void changesGoOnWhileDisksAreFullInTurnAndWithoutAnyOneVoterAfterwards() {
    try (fleet) {
      fleet.start();
      List<Long> processes = fleet.voters.stream().map(Vm::pid).toList();
      for (int round = 0; round < ROUNDS; round++) {
        fleet.voters.forEach(this::changeWhileDiskIsFull);
      }
      fleet.voters.forEach(voter -> awaitChange("after all disks have room"));
      assertThat(fleet.voters).allMatch(Vm::isRunning);
      assertThat(fleet.voters).extracting(Vm::pid).isEqualTo(processes);
      fleet.voters.forEach(this::changeWithout);
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  private void changeWhileDiskIsFull(Vm voter) {
    Path log = voter.dataFolder().resolve("log");
    long limit = size(log);
    long start = System.nanoTime();
    voter.limitFilesTo(limit);
    int changes = 0;
    while (changes < CHANGES_DURING_A_FULL_DISK || System.nanoTime() - start < MIN_FULL.toNanos()) {
      awaitChange("while the disk of " + voter.name + " is full");
      changes++;
    }
    assertThat(size(log)).as("log that cannot grow").isLessThanOrEqualTo(limit);
    voter.liftFileLimit();
  }

  /** Kills a voter, so that every other one is needed, and starts it again. */
  private void changeWithout(Vm voter) {
    voter.kill();
    awaitChange("without " + voter.name);
    fleet.voters.stream().filter(other -> other != voter).forEach(this::awaitNewestRead);
    voter.start();
    awaitNewestRead(voter);
  }

  private void awaitChange(String when) {
    version++;
    Await.until(
        "version " + version + " is acknowledged " + when,
        () ->
            fleet.voters.stream()
                .filter(Vm::isRunning)
                .anyMatch(voter -> fleet.operator.put(fleet.operatorAddress(voter), version)));
  }

  private void awaitNewestRead(Vm voter) {
    Await.until(
        "the newest version is read at " + voter.name,
        () -> fleet.operator.read(fleet.operatorAddress(voter)).equals(Optional.of(version)));
  }

  private static long size(Path file) {
    try {
      return Files.size(file);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
