package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.gateway.EngineProfile;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.routing.fleet.OverloadSimulation.Kind;

/** Tests a burst of long prompts beside short urgent ones while spot engines are reclaimed. */
final class OverloadTest {
  private static final ServiceSpec SPEC =
      new ServiceSpec(
          Fleet.LLM,
          100,
          Optional.of(new EngineProfile(OverloadEngine.SLOTS, OverloadEngine.MEMORY_TOKENS, 6)),
          Optional.empty());

  private static FleetScheduler unprotected(FailureDomain domain, int entries) {
    FleetScheduler scheduler = new FleetScheduler(domain, Fleet.notices());
    scheduler.updateServices(List.of(SPEC));
    return scheduler;
  }

  private static FleetScheduler protectedFrom(FailureDomain domain, int entries) {
    FleetScheduler scheduler =
        new FleetScheduler(
            domain,
            Fleet.notices(),
            WarmUpLimit.withoutEntries(),
            new OverloadProtection(true, () -> entries));
    scheduler.updateServices(List.of(SPEC));
    NavigableMap<Integer, Long> targets = new TreeMap<>();
    for (Kind kind : Kind.values()) {
      targets.put(kind.urgency, kind.targetMillis * Fleet.MILLI);
    }
    scheduler.updateTargets(Map.of(Fleet.LLM, targets));
    return scheduler;
  }

  /** Pitches are on time for 95 in 100 on calm days. */
  private static final double MIN_CALM_ON_TIME = 0.95;

  private static final int SUMS_EVERY_400_MILLIS = 40;

  @Example
  void urgentRequestsAreOnTimeOnACalmDayWhileSpotEnginesAreReclaimed() {
    for (int entries : new int[] {16, 63}) {
      OverloadSimulation calm =
          new OverloadSimulation(entries, SUMS_EVERY_400_MILLIS, 1, OverloadTest::unprotected, 7)
              .play();
      System.out.println("overload calm entries=" + entries + " " + calm);
      assertThat(calm.counts(Kind.PITCH).onTimeShare()).isGreaterThan(MIN_CALM_ON_TIME);
    }
  }

  /** Pitches are on time for 85 in 100 in bursts. */
  private static final double MIN_BURST_ON_TIME = 0.85;

  private static final int SIX_TIMES = 6;

  @Example
  void urgentRequestsDoNotWaitBehindABurstOfLongPrompts() {
    for (int entries : new int[] {16, 63}) {
      for (int sumEveryRounds : new int[] {10, SUMS_EVERY_400_MILLIS}) {
        OverloadSimulation before =
            new OverloadSimulation(entries, sumEveryRounds, SIX_TIMES, OverloadTest::unprotected, 7)
                .play();
        OverloadSimulation with =
            new OverloadSimulation(
                    entries, sumEveryRounds, SIX_TIMES, OverloadTest::protectedFrom, 7)
                .play();
        System.out.printf(
            "overload entries=%d sumEveryRounds=%d%n  off %s%n  on  %s%n",
            entries, sumEveryRounds, before, with);
        assertThat(with.counts(Kind.PITCH).onTimeShare())
            .isGreaterThan(MIN_BURST_ON_TIME)
            .isGreaterThan(before.counts(Kind.PITCH).onTimeShare());
        assertThat(with.counts(Kind.CHECK).onTime).isGreaterThan(before.counts(Kind.CHECK).onTime);
        assertThat(with.counts(Kind.PITCH).expiredAtEngine).isZero();
        assertThat(with.counts(Kind.BRIEF).onTime).isGreaterThan(before.counts(Kind.BRIEF).onTime);
      }
    }
  }

  /** An engine beyond its memory crashes with all requests that it runs. */
  @Example
  void memoryIsNotExceededWithFewEntriesOrFreshSums() {
    assertThat(burst(16, 10).memoryCrashes()).isZero();
    assertThat(burst(16, SUMS_EVERY_400_MILLIS).memoryCrashes()).isZero();
    assertThat(burst(63, 10).memoryCrashes()).isZero();
  }

  /** Entries that know others' load 400 ms late must not exceed an engine's memory together. */
  @Example
  void memoryIsNotExceededWithManyEntriesAndOldSums() {
    assertThat(burst(63, SUMS_EVERY_400_MILLIS).memoryCrashes()).isZero();
  }

  private static OverloadSimulation burst(int entries, int sumEveryRounds) {
    return new OverloadSimulation(
            entries, sumEveryRounds, SIX_TIMES, OverloadTest::protectedFrom, 7)
        .play();
  }

  @Example
  void urgentRequestsAreOnTimeOnACalmDayUnderProtection() {
    OverloadSimulation calm =
        new OverloadSimulation(63, SUMS_EVERY_400_MILLIS, 1, OverloadTest::protectedFrom, 7).play();
    System.out.println("overload calm with protection " + calm);
    assertThat(calm.counts(Kind.PITCH).onTimeShare()).isGreaterThan(MIN_CALM_ON_TIME);
  }

  /** A long prompt that finds no room would otherwise hold back short ones behind it. */
  @Example
  void aJobWithoutRoomDoesNotBlockASmallerOneBehindIt() {
    FleetScheduler scheduler = protectedFrom(Fleet.DOMAINS.get(0), 1);
    scheduler.updateServers(Fleet.oneInEachDomain().subList(0, 1));
    scheduler.offer(Fleet.job(1, 2, prompt(20_000)));
    assertThat(scheduler.bind(0)).hasSize(1);
    scheduler.offer(Fleet.job(2, 2, prompt(20_000)));
    scheduler.offer(Fleet.job(3, 2, prompt(1_000)));
    assertThat(scheduler.bind(0))
        .extracting(bound -> bound.job().id().value())
        .containsExactly("r3");
  }

  private static PromptShape prompt(int tokens) {
    return new PromptShape("m", tokens, 100, List.of(new PromptPart("own", tokens)));
  }
}
