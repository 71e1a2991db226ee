package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;
import org.endivemux.cli.CliMain;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.RouteKind;

/**
 * Tests that the explain command finds the causes of three failed requests from real logs alone.
 */
final class ExplainTest {
  @Example
  void refusedLostAndLateRequestsAreExplained() {
    try (GatewayFleet fleet = new GatewayFleet(1, 2);
        CallerStandIn caller = new CallerStandIn("explained", fleet.witness)) {
      fleet.start();
      String entry = fleet.callersAddress(fleet.entries.get(0));
      Await.until("served", () -> caller.call(entry, RouteKind.SALE).isServed());

      fleet.engines.get(0).mode(EngineStandIn.Mode.SLOW);
      CallerStandIn.Outcome late = caller.call(entry, RouteKind.SALE);
      assertThat(late.status()).isEqualTo(200);
      assertThat(explain(fleet, late, "answered").path("cause").asText())
          .contains("the rest of its time was spent at " + fleet.engines.get(0).id());

      fleet.engines.get(0).mode(EngineStandIn.Mode.LOSES_RESPONSES);
      CallerStandIn.Outcome lost = caller.call(entry, RouteKind.SALE);
      assertThat(lost.status()).isEqualTo(502);
      assertThat(explain(fleet, lost, "refused").path("cause").asText())
          .contains("at " + fleet.engines.get(0).id(), "it may have run");

      fleet.platform.updateServers(List.of());
      AtomicReference<CallerStandIn.Outcome> refused = new AtomicReference<>();
      Await.until(
          "refused because no server is available",
          () -> {
            refused.set(caller.call(entry, RouteKind.LOOK_UP));
            return refused.get().status() == 503;
          });
      assertThat(explain(fleet, refused.get(), "refused").path("cause").asText())
          .startsWith("No server had room");
    }
  }

  /** Runs the command until the request's outcome has been logged. */
  private static JsonNode explain(
      GatewayFleet fleet, CallerStandIn.Outcome request, String outcome) {
    AtomicReference<JsonNode> explanation = new AtomicReference<>();
    Await.until(
        "the outcome has been logged",
        () -> {
          explanation.set(explain(fleet.logs, request.attempt()));
          return explanation.get().path("outcome").asText().startsWith(outcome);
        });
    return explanation.get();
  }

  private static JsonNode explain(Path logs, String request) {
    try {
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  CliMain.class.getName(),
                  "explain",
                  request,
                  logs.toString(),
                  "--output",
                  "json")
              .start();
      String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return new ObjectMapper().readTree(text);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
