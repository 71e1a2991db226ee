package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.RouteKind;

/** Tests with real processes that an evacuated failure domain gets no requests. */
final class EvacuationPathTest {
  /** Domain of the second and the fifth of six engines, see {@link GatewayFleet#listEngines}. */
  private static final String DOMAIN = "d1";

  /** Guards against an order that is lost with all processes, or applied after a new version. */
  @Example
  void evacuatedDomainGetsNothingAlsoAfterAllProcessesRestart() {
    try (GatewayFleet fleet = new GatewayFleet(2, 6);
        CallerStandIn caller = new CallerStandIn("evacuation", fleet.witness)) {
      fleet.start();
      awaitArrivalInDomain(fleet, caller);
      order(fleet, "Start");
      int before = arrivals(fleet);
      callOften(fleet, caller);
      assertThat(arrivals(fleet)).isEqualTo(before);

      fleet.vms().forEach(Vm::kill);
      fleet.vms().forEach(Vm::start);
      fleet.awaitReady();
      callOften(fleet, caller);
      assertThat(arrivals(fleet)).isEqualTo(before);

      order(fleet, "Start");
      order(fleet, "End");
      awaitArrivalInDomain(fleet, caller);
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  private static void order(GatewayFleet fleet, String order) {
    String path = "/v1/Evacuation." + order + "/" + DOMAIN;
    Await.until(
        order + " is acknowledged",
        () ->
            fleet.voters.stream()
                .map(voter -> "http://" + fleet.operatorAddress(voter) + path)
                .anyMatch(url -> Http.call("POST", url, "", Map.of(), "").status() == 200));
  }

  private static int arrivals(GatewayFleet fleet) {
    return fleet.engines.get(1).arrivals() + fleet.engines.get(4).arrivals();
  }

  private static void awaitArrivalInDomain(GatewayFleet fleet, CallerStandIn caller) {
    int before = arrivals(fleet);
    Await.until(
        "a request in " + DOMAIN,
        () -> {
          callAll(fleet, caller);
          return arrivals(fleet) > before;
        });
  }

  private static void callOften(GatewayFleet fleet, CallerStandIn caller) {
    Await.until("all entries serve", () -> callAll(fleet, caller));
    IntStream.range(0, 30).forEach(i -> assertThat(callAll(fleet, caller)).isTrue());
  }

  /** Sends a request of two kinds to each entry; returns whether all of them were served. */
  private static boolean callAll(GatewayFleet fleet, CallerStandIn caller) {
    return fleet.entries.stream()
        .map(fleet::callersAddress)
        .map(
            entry ->
                caller.call(entry, RouteKind.STREAM).isServed()
                    && caller.call(entry, RouteKind.LOOK_UP).isServed())
        .reduce(true, Boolean::logicalAnd);
  }
}
