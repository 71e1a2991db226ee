package org.endivemux.gateway;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.endivemux.wire.EarlyEnd;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Cancels an attempt with a {@link TimeoutException} when its server is silent for too long.
 *
 * <p>Invariants: the attempt goes on while no repeat is left, since waiting is better then; it has
 * one timer, however many parts its response has. Used for one attempt. Thread-safe.
 */
final class SilenceTimeout {
  private final long firstPartNanos;
  private final long gapNanos;
  private final BooleanSupplier hasRepeat;
  private final LongSupplier nanos;
  private final Scheduler timers;
  private volatile long waitNanos;
  private volatile long dueAtNanos;

  /**
   * Creates a timeout. When no repeat is left at the end of a wait, another wait of the same length
   * follows.
   *
   * @param firstPartNanos longest silence before the first part of the response
   * @param gapNanos longest silence after each part
   */
  SilenceTimeout(
      long firstPartNanos,
      long gapNanos,
      BooleanSupplier hasRepeat,
      LongSupplier nanos,
      Scheduler timers) {
    this.firstPartNanos = firstPartNanos;
    this.gapNanos = gapNanos;
    this.hasRepeat = hasRepeat;
    this.nanos = nanos;
    this.timers = timers;
  }

  /** Returns the response, which fails when the server has been silent for too long. */
  <T> Flux<T> guard(Flux<T> response) {
    return Flux.defer(
        () -> {
          startWait(firstPartNanos);
          return EarlyEnd.failOn(response.doOnNext(part -> startWait(gapNanos)), silence());
        });
  }

  private void startWait(long lengthNanos) {
    waitNanos = lengthNanos;
    dueAtNanos = nanos.getAsLong() + lengthNanos;
  }

  private Mono<TimeoutException> silence() {
    return Mono.defer(() -> Mono.delay(Duration.ofNanos(dueAtNanos - nanos.getAsLong()), timers))
        .filter(tick -> isDue())
        .repeatWhenEmpty(checks -> checks)
        .map(tick -> new TimeoutException("The server has been silent."));
  }

  private boolean isDue() {
    boolean expired = dueAtNanos - nanos.getAsLong() <= 0;
    if (expired && !hasRepeat.getAsBoolean()) {
      startWait(waitNanos);
      return false;
    }
    return expired;
  }
}
