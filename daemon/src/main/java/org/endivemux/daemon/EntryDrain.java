package org.endivemux.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.IntSupplier;
import org.endivemux.gateway.PlannedStop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Drains an entry that is stopped as planned: it serves on for a while, then refuses what it has
 * not passed on, and near the end of its time answers what is still in progress.
 *
 * <p>Invariant: draining completes when no request is in flight, or {@link #LAST_ANSWERS_TIME}
 * after the requests in progress were answered, however late that happens. Thread-safe.
 */
final class EntryDrain {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time in which the last answers are written to the callers' connections. */
  static final Duration LAST_ANSWERS_TIME = Duration.ofMillis(300);

  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(50);

  private final PlannedStop stop;
  private final IntSupplier inFlight;
  private final Duration serving;
  private final Duration limit;
  private final Scheduler timers;

  /**
   * @param inFlight returns the number of requests that are not answered completely
   * @param serving how long new requests are still served
   * @param limit how long draining takes at most on a process that is not held up
   */
  EntryDrain(
      PlannedStop stop, IntSupplier inFlight, Duration serving, Duration limit, Scheduler timers) {
    this.stop = stop;
    this.inFlight = inFlight;
    this.serving = serving;
    this.limit = limit;
    this.timers = timers;
  }

  /** Leaves and drains; completes when the process may end. */
  Mono<Void> run() {
    return Mono.defer(this::drain);
  }

  private Mono<Void> drain() {
    stop.leave();
    logger.atInfo().log("event=leaving inFlight=%d", inFlight.getAsInt());
    return Mono.delay(serving, timers)
        .doOnNext(tick -> stop.close())
        .then(Mono.defer(this::awaitIdle))
        .timeout(limit.minus(LAST_ANSWERS_TIME), Mono.defer(this::endRequests), timers)
        .doOnTerminate(() -> logger.atInfo().log("event=left inFlight=%d", inFlight.getAsInt()));
  }

  private Mono<Void> endRequests() {
    logger.atWarning().log("event=requests_ended inFlight=%d", inFlight.getAsInt());
    stop.end();
    return awaitIdle().timeout(LAST_ANSWERS_TIME, Mono.empty(), timers);
  }

  private Mono<Void> awaitIdle() {
    return Flux.interval(Duration.ZERO, IDLE_CHECK_INTERVAL, timers)
        .onBackpressureDrop()
        .filter(tick -> inFlight.getAsInt() == 0)
        .next()
        .then();
  }
}
