package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.endivemux.routing.fleet.FleetSimulation.LoadExchange;
import org.endivemux.routing.fleet.FleetSimulation.Outcome;
import org.endivemux.routing.fleet.FleetSimulation.Workload;

/** Compares two ways in which many entries share their load, in a burst of long prompts. */
final class GrownFleetTest {
  private static final int ENTRIES = 63;
  private static final int ENGINES = 60;
  private static final int SECONDS = 16;

  /** Month-end reports: low load, two and a half times as much for nine seconds, low load again. */
  private static int monthEndReports(int second) {
    return second >= 3 && second < 12 ? 300 : 120;
  }

  private static Outcome play(LoadExchange exchange) {
    Outcome outcome =
        new FleetSimulation(ENTRIES, ENGINES, exchange, Workload.reports(), 7)
            .play(SECONDS, GrownFleetTest::monthEndReports);
    System.out.println("month-end reports, " + exchange + ": " + outcome);
    return outcome;
  }

  @Example
  void sumsOverAllEntriesServeMoreInTimeThanCellsOfEight() {
    Outcome cells = play(new LoadExchange(LoadExchange.Mode.CELLS, 3));
    Outcome sums = play(new LoadExchange(LoadExchange.Mode.SUMS, 20));
    assertThat(sums.rejected()).isLessThanOrEqualTo(cells.rejected());
    assertThat(sums.onTime()).isGreaterThan(cells.onTime());
  }
}
