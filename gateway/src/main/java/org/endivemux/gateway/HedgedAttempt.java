package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.endivemux.routing.RetryPolicy.Delivered;
import org.endivemux.routing.RetryPolicy.FailedAttempt;
import org.endivemux.routing.fleet.Binding;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.wire.SendMarker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Runs the first attempt of a request, and a second one beside it when the first one is late.
 *
 * <p>Invariants: parts of one attempt only are passed on, those of the first to emit one; the other
 * attempt is cancelled before that part is passed on, so it reads nothing more; a failure of one
 * attempt leaves the other going; each attempt that ends and may have run is recorded once in
 * {@link Progress}, the one that fails last by the caller of this class. Not thread-safe: used by
 * one request, with both attempts on its event loop.
 */
final class HedgedAttempt {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AdmittedRequest request;
  private final Progress progress;
  private final Hedges hedges;
  private final Supplier<FleetJob> nextJob;
  private final BiFunction<Binding, SendMarker, Flux<ResponsePart>> send;
  private final AtomicReference<SendMarker> failedLast;
  private final SendMarker firstMarker;
  private final SendMarker secondMarker;
  private final Sinks.Empty<Void> firstFailed = Sinks.empty();
  private Optional<Throwable> lastError = Optional.empty();
  private int running = 1;
  private boolean isLate;
  private boolean isSecondRunning;
  private boolean isDecided;

  /**
   * @param nextJob makes the job of the second attempt
   * @param send runs an attempt at a bound server and frees its slot at the end
   * @param failedLast holds the marker of the first attempt; is set to that of the attempt whose
   *     error ends the response
   */
  HedgedAttempt(
      AdmittedRequest request,
      Progress progress,
      Hedges hedges,
      Supplier<FleetJob> nextJob,
      BiFunction<Binding, SendMarker, Flux<ResponsePart>> send,
      AtomicReference<SendMarker> failedLast,
      SendMarker secondMarker) {
    this.request = request;
    this.progress = progress;
    this.hedges = hedges;
    this.nextJob = nextJob;
    this.send = send;
    this.failedLast = failedLast;
    this.firstMarker = failedLast.get();
    this.secondMarker = secondMarker;
  }

  /** Returns the response of the attempt that is first to emit a part. */
  Flux<ResponsePart> run(Binding binding) {
    long startedAt = hedges.now();
    Flux<ResponsePart> first =
        watch(send.apply(binding, firstMarker), firstMarker, startedAt)
            .doOnError(error -> firstFailed.tryEmitEmpty());
    OptionalLong delay = hedges.delayNanos(request.route());
    if (delay.isEmpty()) {
      return first;
    }
    // Both sources emit on the request's event loop, so no part of the other attempt is read
    // between the winner's first part and the cancellation.
    return Flux.firstWithValue(first, second(startedAt, delay.getAsLong()))
        .onErrorMap(error -> lastError.orElse(error));
  }

  /** Returns the second attempt, or nothing if the first one fails before it starts. */
  private Flux<ResponsePart> second(long startedAt, long delayNanos) {
    return hedges
        .after(delayNanos)
        .takeUntilOther(firstFailed.asMono())
        .flatMap(tick -> Mono.justOrEmpty(start(delayNanos)))
        .flatMapMany(binding -> watch(send.apply(binding, secondMarker), secondMarker, startedAt));
  }

  private Optional<Binding> start(long delayNanos) {
    isLate = true;
    Optional<Binding> binding = hedges.tryStart(request, nextJob, delayNanos);
    isSecondRunning = binding.isPresent();
    running += isSecondRunning ? 1 : 0;
    return binding;
  }

  private Flux<ResponsePart> watch(Flux<ResponsePart> attempt, SendMarker marker, long startedAt) {
    return attempt
        .doOnNext(part -> decide(marker, hedges.now() - startedAt))
        .doOnError(error -> failed(marker, error, hedges.now() - startedAt))
        .doOnCancel(() -> cancelled(marker));
  }

  /** Records which attempt was the first to emit a part. */
  private void decide(SendMarker winner, long tookNanos) {
    if (isDecided) {
      return;
    }
    isDecided = true;
    hedges.recordFirstByte(request.route(), tookNanos, isLate);
    if (isSecondRunning) {
      boolean won = winner.equals(secondMarker);
      hedges.ended(request, won ? HedgeOutcome.WON : HedgeOutcome.LOST, tookNanos);
    }
  }

  private void failed(SendMarker marker, Throwable error, long tookNanos) {
    running--;
    lastError = Optional.of(error);
    failedLast.set(marker);
    if (marker.equals(secondMarker) && !isDecided) {
      isSecondRunning = false;
      hedges.ended(request, HedgeOutcome.FAILED, tookNanos);
    }
    if (running > 0) {
      recordFailure(marker, error);
    }
  }

  /** Records a failure after which the other attempt goes on. */
  private void recordFailure(SendMarker marker, Throwable error) {
    FailedAttempt failed =
        new FailedAttempt(!marker.tryAbandon(), AttemptFailure.failureOf(error), Delivered.NOTHING);
    if (failed.mayHaveRun()) {
      progress.recordPossibleRun(marker);
    } else {
      progress.recordNotRun(marker);
    }
    logger.atInfo().log(
        "event=hedged_try_failed request=%s isFirst=%s mayHaveRun=%s cause=\"%s\"",
        request.head().id(), marker.equals(firstMarker), failed.mayHaveRun(), error);
  }

  private void cancelled(SendMarker marker) {
    running--;
    if (marker.tryAbandon()) {
      progress.recordNotRun(marker);
    } else {
      progress.recordPossibleRun(marker);
    }
  }
}
