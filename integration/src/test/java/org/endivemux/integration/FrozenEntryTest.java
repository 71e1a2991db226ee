package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.RouteKind;

/** Tests requests that arrive while the process of an entry is stopped by a signal. */
final class FrozenEntryTest {
  private static final int CALLERS = 20;

  /** Longer than what an entry takes for a pause of its event loop in normal service. */
  private static final Duration FREEZE = Duration.ofSeconds(3);

  /** Guards against requests that run although their callers closed before they were read. */
  @Example
  void requestsWhoseCallersLeftDuringAFreezeDoNotRun() {
    try (GatewayFleet fleet = new GatewayFleet(2, 4);
        CallerStandIn caller = new CallerStandIn("caller", fleet.witness)) {
      fleet.start();
      Vm entry = fleet.entries.get(0);
      String address = fleet.callersAddress(entry);
      Await.until("served", () -> caller.call(address, RouteKind.STREAM).isServed());
      entry.freeze();
      List<String> left = IntStream.range(0, CALLERS).mapToObj(i -> "left-" + i).toList();
      left.forEach(attempt -> sendAndLeave(fleet, entry, attempt));
      LockSupport.parkNanos(FREEZE.toNanos());
      entry.thaw();
      Await.until("served again", () -> caller.call(address, RouteKind.STREAM).isServed());
      Await.until("nothing runs", () -> isIdle(fleet));
      assertThat(left).noneMatch(fleet.witness::hasRun);
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  private static void sendAndLeave(GatewayFleet fleet, Vm entry, String attempt) {
    try (RawCall call =
        RawCall.send(fleet.callersSocket(entry), CallerStandIn.rawStreamRequest(attempt))) {
      assertThat(call).isNotNull();
    }
  }

  /** Returns whether all requests that a later one could overtake have ended. */
  private static boolean isIdle(GatewayFleet fleet) {
    int arrivals = arrivals(fleet);
    LockSupport.parkNanos(Duration.ofMillis(500).toNanos());
    return arrivals(fleet) == arrivals;
  }

  private static int arrivals(GatewayFleet fleet) {
    return fleet.engines.stream().mapToInt(EngineStandIn::arrivals).sum();
  }
}
