package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.RouteKind;

/** Tests that all entries together respect the rate limits that backend servers state. */
final class StatedLimitTest {
  private static final int ENTRIES = 3;
  private static final int CALLERS = 12;
  private static final double REQUESTS_PER_SECOND = 2;
  private static final Duration WINDOW = Duration.ofSeconds(4);

  /** One and a half times what the limit allows in the window, and 5 requests. */
  private static final long MOST_IN_WINDOW = 17;

  /** Time after which each entry has had a response that states the limit. */
  private static final Duration UNTIL_TOLD = Duration.ofSeconds(2);

  private static final Duration LIMITED = Duration.ofSeconds(8);

  /** Guards against entries that each send a server as much as it takes from all of them. */
  @Example
  void serversGetWhatTheyTakeFromAllEntriesTogether() {
    try (GatewayFleet fleet = new GatewayFleet(ENTRIES, 4)) {
      fleet.start();
      AtomicBoolean ended = new AtomicBoolean();
      ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
      List<CompletableFuture<Void>> callers =
          IntStream.range(0, CALLERS)
              .mapToObj(i -> CompletableFuture.runAsync(() -> call(fleet, i, ended), threads))
              .toList();
      Await.until("load", () -> fleet.engines.stream().allMatch(it -> it.arrivals() > CALLERS));
      limit(fleet, OptionalDouble.of(REQUESTS_PER_SECOND));
      LockSupport.parkNanos(UNTIL_TOLD.toNanos());
      long told = System.nanoTime();
      LockSupport.parkNanos(LIMITED.toNanos());
      assertThat(fleet.engines)
          .allSatisfy(
              engine ->
                  assertThat(engine.arrivalTimes().mostIn(WINDOW, told))
                      .isBetween(1L, MOST_IN_WINDOW));
      limit(fleet, OptionalDouble.empty());
      int arrived = arrivals(fleet);
      Await.until("no limit", () -> arrivals(fleet) > arrived + 10 * MOST_IN_WINDOW);
      ended.set(true);
      callers.forEach(CompletableFuture::join);
      threads.shutdown();
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  private static void limit(GatewayFleet fleet, OptionalDouble requestsPerSecond) {
    fleet.engines.forEach(engine -> engine.limit(requestsPerSecond));
  }

  private static int arrivals(GatewayFleet fleet) {
    return fleet.engines.stream().mapToInt(EngineStandIn::arrivals).sum();
  }

  private static void call(GatewayFleet fleet, int number, AtomicBoolean ended) {
    RouteKind[] kinds = RouteKind.values();
    String address = fleet.callersAddress(fleet.entries.get(number % ENTRIES));
    try (CallerStandIn caller = new CallerStandIn("caller" + number, fleet.witness)) {
      for (int i = number; !ended.get(); i++) {
        caller.call(address, kinds[i % kinds.length]);
      }
    }
  }
}
