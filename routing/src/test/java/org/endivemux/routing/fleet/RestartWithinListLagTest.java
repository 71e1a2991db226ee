package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.gateway.WarmUp;

/** Checks what cold engines get whose restart no list has shown yet. */
final class RestartWithinListLagTest {
  /** Guards against entries that saw no failure and use a restarted engine as a warm one. */
  @Property(tries = 10, seed = "318")
  void enginesThatRestartWithinTheLagOfTheListStayWithinTheirLimit(@ForAll long seed) {
    List<EntryInfo> all = Fleet.live(0, 60);
    var run =
        new WarmUpSimulation(seed, 60, Optional.of(new WarmUp(3000, 13)), entry -> all)
            .traffic(480)
            .domainIsAway(5000, 6000, true)
            .run(9000);
    assertThat((double) run.mostInASecond(6000, 9000)).isLessThanOrEqualTo(24.5);
  }
}
