package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.RouteKind;

/** Tests that a planned stop of an entry under load answers every request that it accepted. */
final class GatewayShutdownTest {
  private static final int CALLERS = 8;
  private static final int CALLS_BEFORE_THE_STOP = 200;

  /**
   * Entries accept requests for 1.5 s of a stop, which takes 3.5 s; routes have a timeout of 4 s.
   */
  private static final Duration INTO_THE_STOP = Duration.ofMillis(500);

  /** Within this time of the stop the process has certainly not ended. */
  private static final Duration STILL_SERVING = Duration.ofSeconds(1);

  /** Longer than the time that an entry has for a stop. */
  private static final Duration WHOLE_STOP = Duration.ofSeconds(4);

  @Example
  void requestsAcceptedAroundThePlannedStopAreAnswered() {
    try (GatewayFleet fleet = new GatewayFleet(2, 4);
        CallerStandIn first = new CallerStandIn("first", fleet.witness)) {
      fleet.start();
      String address = fleet.callersAddress(fleet.entries.get(0));
      Await.until("served", () -> first.call(address, RouteKind.STREAM).isServed());
      AtomicBoolean stopped = new AtomicBoolean();
      AtomicInteger calls = new AtomicInteger();
      AtomicLong servesUntil = new AtomicLong(Long.MAX_VALUE);
      ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
      List<CompletableFuture<Integer>> callers =
          IntStream.range(0, CALLERS)
              .mapToObj(
                  i ->
                      CompletableFuture.supplyAsync(
                          () -> unanswered(fleet, i, calls, servesUntil, stopped), threads))
              .toList();
      Await.until("load", () -> calls.get() > CALLS_BEFORE_THE_STOP);
      servesUntil.set(System.nanoTime() + STILL_SERVING.toNanos());
      fleet.entries.get(0).terminate();
      Await.until("it refuses or has ended", () -> refusesOrHasEnded(first, address));
      stopped.set(true);
      assertThat(callers).extracting(CompletableFuture::join).containsOnly(0);
      threads.shutdown();
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  /** Guards against requests that the end of the process cuts off without any response. */
  @Example
  void requestsThatCannotEndInTimeGetAResponseBeforeTheProcessEnds() {
    try (GatewayFleet fleet = new GatewayFleet(2, 4);
        CallerStandIn caller = new CallerStandIn("caller", fleet.witness)) {
      fleet.start();
      Vm entry = fleet.entries.get(0);
      String address = fleet.callersAddress(entry);
      Await.until("served", () -> caller.call(address, RouteKind.SALE).isServed());
      fleet.engines.forEach(engine -> engine.mode(EngineStandIn.Mode.SILENT));
      entry.terminate();
      LockSupport.parkNanos(INTO_THE_STOP.toNanos());
      CompletableFuture<Integer> sale =
          CompletableFuture.supplyAsync(() -> caller.call(address, RouteKind.SALE).status());
      try (RawCall upload =
          RawCall.send(
              fleet.callersSocket(entry),
              CallerStandIn.rawUploadHead("upload") + "Content-Length: 100\r\n\r\n{")) {
        assertThat(upload.readUntil("\r\n")).contains(" 503 ");
      }
      assertThat(sale.join()).isEqualTo(504);
      entry.awaitExit();
    }
  }

  /**
   * Guards against a process that ends in the moment in which it answers its last requests, because
   * it was held up until all of its time for the stop had passed.
   */
  @Example
  void requestsInProgressAreAnsweredByAProcessThatWasHeldUpUntilTheEndOfItsStop() {
    try (GatewayFleet fleet = new GatewayFleet(2, 4);
        CallerStandIn caller = new CallerStandIn("caller", fleet.witness)) {
      fleet.start();
      Vm entry = fleet.entries.get(0);
      String address = fleet.callersAddress(entry);
      Await.until("served", () -> caller.call(address, RouteKind.SALE).isServed());
      fleet.engines.forEach(engine -> engine.mode(EngineStandIn.Mode.SILENT));
      int arrivals = arrivals(fleet);
      CompletableFuture<Integer> sale =
          CompletableFuture.supplyAsync(() -> caller.call(address, RouteKind.SALE).status());
      Await.until("the sale runs", () -> arrivals(fleet) > arrivals);
      entry.terminate();
      Await.until("it leaves", () -> entry.logText().contains("event=leaving"));
      entry.freeze();
      LockSupport.parkNanos(WHOLE_STOP.toNanos());
      entry.thaw();
      assertThat(sale.join()).isEqualTo(504);
      entry.awaitExit();
    }
  }

  private static int arrivals(GatewayFleet fleet) {
    return fleet.engines.stream().mapToInt(EngineStandIn::arrivals).sum();
  }

  private static boolean refusesOrHasEnded(CallerStandIn caller, String address) {
    int status = caller.call(address, RouteKind.LOOK_UP).status();
    return status == 503 || status == 0;
  }

  /**
   * Calls on one open connection until the stop; returns how many accepted calls got no response.
   *
   * <p>A call counts as accepted if a server ran it, or while the process certainly still served. A
   * call that meets the end of the process without being passed on has no claim to a response.
   */
  private static int unanswered(
      GatewayFleet fleet,
      int number,
      AtomicInteger calls,
      AtomicLong servesUntil,
      AtomicBoolean stopped) {
    RouteKind[] kinds = RouteKind.values();
    String address = fleet.callersAddress(fleet.entries.get(0));
    int unanswered = 0;
    try (CallerStandIn caller = new CallerStandIn("caller" + number, fleet.witness)) {
      while (!stopped.get()) {
        CallerStandIn.Outcome outcome =
            caller.call(address, kinds[calls.incrementAndGet() % kinds.length]);
        boolean isServing = System.nanoTime() < servesUntil.get();
        boolean isAccepted = isServing || fleet.witness.hasRun(outcome.attempt());
        unanswered += outcome.status() == 0 && isAccepted ? 1 : 0;
      }
    }
    return unanswered;
  }
}
