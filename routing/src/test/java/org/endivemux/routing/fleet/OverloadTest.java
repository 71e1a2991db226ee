package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
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
}
