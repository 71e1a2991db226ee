package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.endivemux.routing.fleet.UnevenFleetSimulation.Outcome;

/** Compares placement with and without measured speeds on engines of uneven, changing speed. */
final class UnevenFleetTest {
  private static final long SEED = 11;
  private static final double LIGHT_LOAD = 1.2;
  private static final double LOAD = 2.1;

  private static Outcome report(String name, Outcome outcome) {
    System.out.println(name + ": " + outcome);
    return outcome;
  }

  @Example
  void slowEnginesGetLessUnderWave() {
    UnevenFleetSimulation present = new UnevenFleetSimulation(false, LOAD, SEED);
    UnevenFleetSimulation measured = new UnevenFleetSimulation(true, LOAD, SEED);
    report("wave, first 5 s, present", present.play(5));
    report("wave, first 5 s, measured", measured.play(5));
    Outcome before = report("wave, present", present.play(15));
    Outcome after = report("wave, measured", measured.play(15));
    assertThat(after.captions()).isGreaterThan(before.captions());
    assertThat(after.worstDomain()).isGreaterThan(after.bestDomain() - 0.05);
    assertThat(after.crossDomain()).isLessThanOrEqualTo(before.crossDomain());
  }

  @Example
  void lightLoadKeepsTheStatedShareOnTime() {
    UnevenFleetSimulation present = new UnevenFleetSimulation(false, LIGHT_LOAD, SEED);
    UnevenFleetSimulation measured = new UnevenFleetSimulation(true, LIGHT_LOAD, SEED);
    report("light load, present", present.play(15));
    Outcome after = report("light load, measured", measured.play(15));
    assertThat(after.captions()).isGreaterThan(0.85);
    assertThat(after.worstDomain()).isGreaterThan(after.bestDomain() - 0.05);
  }

  @Example
  void restartOfAllEntriesServesAsWellAsWithoutSpeeds() {
    UnevenFleetSimulation present = new UnevenFleetSimulation(false, LOAD, SEED);
    UnevenFleetSimulation measured = new UnevenFleetSimulation(true, LOAD, SEED);
    present.play(8);
    measured.play(8);
    present.restartEntries();
    measured.restartEntries();
    Outcome before = report("restart, present", present.play(5));
    Outcome after = report("restart, measured", measured.play(5));
    assertThat(after.captions()).isGreaterThanOrEqualTo(before.captions());
  }

  @Example
  void lostDigestsServeAsWellAsWithoutSpeeds() {
    UnevenFleetSimulation present = new UnevenFleetSimulation(false, LOAD, SEED);
    UnevenFleetSimulation measured = new UnevenFleetSimulation(true, LOAD, SEED);
    present.play(8);
    measured.play(8);
    present.loseDigests(true);
    measured.loseDigests(true);
    Outcome before = report("digests lost, present", present.play(6));
    Outcome after = report("digests lost, measured", measured.play(6));
    assertThat(after.captions()).isGreaterThanOrEqualTo(before.captions());
  }
}
