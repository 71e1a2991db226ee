package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.RouteKind;
import org.endivemux.testing.FaultProxy;

/** Tests that a real entry heeds what servers say of themselves in their responses. */
final class ServerNoticesPathTest {
  /** Requests that are under way when the first response with a notice arrives. */
  private static final int UNDER_WAY = 1;

  /** Guards against requests to a server that said that it leaves, while the list is silent. */
  @Example
  void leavingServerGetsNothingMoreWithoutTheList() {
    try (GatewayFleet fleet = new GatewayFleet(1, 4);
        CallerStandIn caller = new CallerStandIn("leave", fleet.witness)) {
      fleet.start();
      String entry = fleet.callersAddress(fleet.entries.get(0));
      int index = indexOfUsedServer(fleet, caller, entry);
      EngineStandIn leaving = fleet.engines.get(index);
      fleet.platformProxy.mode(FaultProxy.Mode.SILENT);
      leaving.mode(EngineStandIn.Mode.LEAVING);
      awaitArrivalAt(leaving, caller, entry);
      int before = leaving.arrivals();
      IntStream.range(0, 40)
          .forEach(i -> assertThat(caller.call(entry, RouteKind.STREAM).isServed()).isTrue());
      assertThat(leaving.arrivals()).isEqualTo(before);

      fleet.platformProxy.mode(FaultProxy.Mode.PASS);
      fleet.replaceEngine(index);
      awaitArrivalAt(fleet.engines.get(index), caller, entry);
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  /** Guards against requests to a server during the pause that it asked for. */
  @Example
  void pausedServerGetsNothingUntilTheEndOfItsPause() {
    try (GatewayFleet fleet = new GatewayFleet(1, 4);
        CallerStandIn caller = new CallerStandIn("pause", fleet.witness)) {
      fleet.start();
      String entry = fleet.callersAddress(fleet.entries.get(0));
      EngineStandIn paused = fleet.engines.get(indexOfUsedServer(fleet, caller, entry));
      paused.mode(EngineStandIn.Mode.PAUSED);
      awaitArrivalAt(paused, caller, entry);
      long pauseEnd = System.nanoTime() + EngineStandIn.PAUSE.toNanos() / 2;
      int before = paused.arrivals();
      while (System.nanoTime() < pauseEnd) {
        assertThat(caller.call(entry, RouteKind.STREAM).isServed()).isTrue();
      }
      assertThat(paused.arrivals()).isLessThanOrEqualTo(before + UNDER_WAY);
      paused.mode(EngineStandIn.Mode.HEALTHY);
      awaitArrivalAt(paused, caller, entry);
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  /** Returns the server that the entry chooses for a stream while nothing else runs. */
  private static int indexOfUsedServer(GatewayFleet fleet, CallerStandIn caller, String entry) {
    Await.until("a stream is served", () -> caller.call(entry, RouteKind.STREAM).isServed());
    int[] before = fleet.engines.stream().mapToInt(EngineStandIn::arrivals).toArray();
    caller.call(entry, RouteKind.STREAM);
    return IntStream.range(0, before.length)
        .filter(i -> fleet.engines.get(i).arrivals() > before[i])
        .findFirst()
        .orElseThrow();
  }

  private static void awaitArrivalAt(EngineStandIn engine, CallerStandIn caller, String entry) {
    int before = engine.arrivals();
    Await.until(
        "a request at " + engine.id(),
        () -> {
          caller.call(entry, RouteKind.STREAM);
          return engine.arrivals() > before;
        });
  }
}
