package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;

/**
 * Checks that the gateway version never decreases and that counts of final windows never change.
 */
final class GatewayStateTest {
  private final ControlState state = new ControlState();
  private long index;

  private void apply(Command command) {
    state.apply(++index, new Command.Stamped(index, command));
  }

  private void put(long version, String document) {
    GatewayConfig config =
        new GatewayConfig(version, List.of(), List.of(), ClientLimits.defaults(), List.of());
    apply(new Command.PutGatewayConfig(config, document));
  }

  @Example
  void olderAndEqualVersionsChangeNothing() {
    put(7, "seven");
    put(5, "five");
    put(7, "other");
    assertThat(state.view().gateway().version()).isEqualTo(7);
    assertThat(state.gatewayDocument()).isEqualTo("seven");
  }

  @Example
  void configurationAndWindowsSurviveASnapshot() {
    put(3, "three");
    apply(new Command.FinaliseWindow(12, Map.of(new OrganisationId("o"), 5L)));
    ControlState restored = new ControlState();
    restored.restore(state.save());
    assertThat(restored.gatewayDocument()).isEqualTo("three");
    assertThat(restored.view().gateway().version()).isEqualTo(3);
    assertThat(restored.windowReports().firstUnsent().orElseThrow().requests())
        .containsEntry(new OrganisationId("o"), 5L);
  }

  @Example
  void countsOfAFinalWindowNeverChange() {
    apply(new Command.FinaliseWindow(1, Map.of(new OrganisationId("o"), 5L)));
    apply(new Command.FinaliseWindow(1, Map.of(new OrganisationId("o"), 6L)));
    assertThat(state.windowReports().firstUnsent().orElseThrow().requests())
        .containsEntry(new OrganisationId("o"), 5L);
  }

  @Example
  void sentWindowsAreNotSentAgain() {
    apply(new Command.FinaliseWindow(1, Map.of()));
    apply(new Command.FinaliseWindow(2, Map.of()));
    apply(new Command.MarkWindowSent(1));
    assertThat(state.windowReports().firstUnsent().orElseThrow().window()).isEqualTo(2);
  }
}
