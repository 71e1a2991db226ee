package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.endivemux.routing.fleet.FleetSimulation.LoadExchange;
import org.endivemux.routing.fleet.FleetSimulation.Outcome;
import org.endivemux.routing.fleet.FleetSimulation.Workload;

/** Tests a burst of long drafts with large shared parts on engines that read prompts slowly. */
final class SlowPrefillFleetTest {
  private static final int ENTRIES = 63;
  private static final int ENGINES = 60;
  private static final int SECONDS = 16;

  private static final double MIN_SHARE_ON_TIME = 0.9;
  private static final int SHARED_PARTS = 200;

  /** Two preferred engines for each shared part, and as many again for requests that evade them. */
  private static final int MAX_ENGINES_PER_PART = 4;

  /** Caption drafts double before another server can boot. */
  private static int draftsDouble(int second) {
    return second >= 3 && second < 12 ? 196 : 98;
  }

  @Example
  void sharedPartsStayOnFewEnginesWhileDraftsDouble() {
    Outcome outcome =
        new FleetSimulation(
                ENTRIES,
                ENGINES,
                new LoadExchange(LoadExchange.Mode.SUMS, 20),
                new Workload(6300, 2890, 54, SHARED_PARTS, 815, 38.4),
                7)
            .play(SECONDS, SlowPrefillFleetTest::draftsDouble);
    System.out.println("drafts double: " + outcome);
    assertThat((double) outcome.onTime() / outcome.requests()).isGreaterThan(MIN_SHARE_ON_TIME);
    assertThat(outcome.sharedPartReads()).isLessThanOrEqualTo(SHARED_PARTS * MAX_ENGINES_PER_PART);
  }
}
