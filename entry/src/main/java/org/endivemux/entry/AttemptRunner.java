package org.endivemux.entry;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.timeout.ReadTimeoutException;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.endivemux.model.ExecutionStatus;
import org.endivemux.model.Reason;
import org.endivemux.model.RetryReason;
import org.endivemux.routing.Assignment;
import org.endivemux.routing.Observation;
import org.endivemux.routing.RetryBudget;
import org.endivemux.routing.RetryPolicy;
import org.endivemux.routing.RetryPolicy.Delivered;
import org.endivemux.routing.RetryPolicy.FailedAttempt;
import org.endivemux.routing.RetryPolicy.Failure;
import org.endivemux.wire.SendMarker;
import reactor.core.publisher.Flux;

/**
 * Sends a request to a backend server and retries on another one when that is safe.
 *
 * <p>Invariants: a non-repeatable request is retried only when no byte of it was sent; retries stay
 * within the class's budget; a final refusal says "not run" only when no attempt sent a byte.
 * Thread-safe.
 */
final class AttemptRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Dispatcher dispatcher;
  private final RetryBudget budget;
  private final Counters counters;
  private final LongSupplier nanos;

  AttemptRunner(Dispatcher dispatcher, RetryBudget budget, Counters counters, LongSupplier nanos) {
    this.dispatcher = dispatcher;
    this.budget = budget;
    this.counters = counters;
    this.nanos = nanos;
  }

  /** Sends a request once to one backend server. */
  interface Sender<T> {
    Flux<T> send(Assignment assignment, Attempt attempt);
  }

  /**
   * Runs a request until it succeeds or may not be retried; fails with {@link RefusedException}.
   */
  <T> Flux<T> run(UpstreamRequest upstream, Sender<T> sender) {
    budget.recordRequest(upstream.requestClass().name());
    return run(upstream, sender, new History(1, false));
  }

  private <T> Flux<T> run(UpstreamRequest upstream, Sender<T> sender, History history) {
    Attempt attempt = new Attempt(nanos);
    return dispatcher
        .acquire(upstream.job())
        .flatMapMany(assignment -> runAttempt(upstream, assignment, sender, attempt))
        .onErrorResume(
            error -> retryOrFail(upstream, sender, history.after(attempt), attempt, error));
  }

  /**
   * Runs one attempt and releases its slot before it signals the end, so that a retry can use it.
   */
  private <T> Flux<T> runAttempt(
      UpstreamRequest upstream, Assignment assignment, Sender<T> sender, Attempt attempt) {
    return Flux.defer(
            () -> {
              attempt.start(assignment);
              return sender.send(assignment, attempt);
            })
        .doOnError(attempt::markFailed)
        .doOnCancel(attempt.sendMarker()::tryAbandon)
        .doOnTerminate(() -> dispatcher.release(upstream.job().id(), attempt.observation(false)))
        .doOnCancel(() -> dispatcher.release(upstream.job().id(), attempt.observation(true)));
  }

  private <T> Flux<T> retryOrFail(
      UpstreamRequest upstream,
      Sender<T> sender,
      History history,
      Attempt attempt,
      Throwable error) {
    Optional<RetryReason> reason =
        retryReason(upstream, attempt, error)
            .filter(
                allowed -> RetryPolicy.allowsAnother(history.attempts(), attempt.hasDelivered()))
            .filter(allowed -> budget.tryRetry(upstream.requestClass().name()));
    if (reason.isEmpty()) {
      return Flux.error(refusal(history, attempt, error));
    }
    counters.retried(reason.get());
    logger.atInfo().log(
        "event=retry request=%s reason=%s backend=%s tokens=%d",
        upstream.job().id(), reason.get(), attempt.serverName(), attempt.tokens());
    return run(upstream, sender, history.next());
  }

  private static Optional<RetryReason> retryReason(
      UpstreamRequest upstream, Attempt attempt, Throwable error) {
    if (error instanceof RefusedException || !attempt.hasStarted()) {
      return Optional.empty();
    }
    FailedAttempt failed =
        new FailedAttempt(
            !attempt.sendMarker().tryAbandon(), failureOf(error), attempt.deliveredPart());
    return RetryPolicy.reason(failed, upstream.job().repeatable());
  }

  private static Failure failureOf(Throwable error) {
    if (error instanceof BackendBusyException) {
      return Failure.NOT_RUN;
    }
    return isTimeout(error) ? Failure.TIMEOUT : Failure.BROKEN;
  }

  private static boolean isTimeout(Throwable error) {
    return error instanceof TimeoutException || error instanceof ReadTimeoutException;
  }

  private static RefusedException refusal(History history, Attempt attempt, Throwable error) {
    if (error instanceof RefusedException refused) {
      boolean contradictsEarlierAttempt =
          history.everSent() && refused.reason().executionStatus() == ExecutionStatus.NOT_RUN;
      return contradictsEarlierAttempt
          ? new RefusedException(Reason.BACKEND_FAILED, refused.detail())
          : refused;
    }
    if (!history.everSent()) {
      return new RefusedException(Reason.BACKEND_UNREACHABLE);
    }
    if (attempt.hasDelivered()) {
      return new RefusedException(Reason.ANSWER_BROKEN);
    }
    return new RefusedException(isTimeout(error) ? Reason.BACKEND_TIMEOUT : Reason.BACKEND_FAILED);
  }

  /** Holds the number of attempts so far and whether any may have sent a byte. Immutable. */
  private record History(int attempts, boolean everSent) {
    History after(Attempt attempt) {
      return new History(attempts, everSent || attempt.sendMarker().mayHaveSent());
    }

    History next() {
      return new History(attempts + 1, everSent);
    }
  }

  /**
   * Tracks the progress of one attempt.
   *
   * <p>Confined to the attempt's event loop, except for {@code sendMarker}, which is thread-safe.
   */
  static final class Attempt {
    private final LongSupplier nanos;
    private final SendMarker sendMarker = new SendMarker();
    private Optional<Assignment> assignment = Optional.empty();
    private Optional<Throwable> error = Optional.empty();
    private long startedAt;
    private long firstByteAt;
    private int tokens;
    private boolean delivered;
    private boolean resumable;
    private boolean complete;

    Attempt(LongSupplier nanos) {
      this.nanos = nanos;
    }

    private void start(Assignment chosen) {
      assignment = Optional.of(chosen);
      startedAt = nanos.getAsLong();
    }

    private void markFailed(Throwable cause) {
      error = Optional.of(cause);
      sendMarker.tryAbandon();
    }

    SendMarker sendMarker() {
      return sendMarker;
    }

    boolean hasStarted() {
      return assignment.isPresent();
    }

    String serverName() {
      return assignment.map(chosen -> chosen.server().id().value()).orElse("none");
    }

    /** Records received tokens; the first call also records the time of the first byte. */
    void recordTokens(int more) {
      if (firstByteAt == 0) {
        firstByteAt = nanos.getAsLong();
      }
      tokens += more;
    }

    int tokens() {
      return tokens;
    }

    /** Records that the caller has received a part of the response. */
    void markDelivered(boolean canResume) {
      delivered = true;
      resumable = canResume;
    }

    /** Records that the whole response was received. */
    void markComplete() {
      recordTokens(0);
      complete = true;
    }

    boolean isComplete() {
      return complete;
    }

    boolean hasDelivered() {
      return delivered;
    }

    Delivered deliveredPart() {
      if (!delivered) {
        return Delivered.NOTHING;
      }
      return resumable ? Delivered.RESUMABLE : Delivered.NOT_RESUMABLE;
    }

    long nanosSinceStart() {
      return nanos.getAsLong() - startedAt;
    }

    Observation observation(boolean cancelled) {
      Observation.Result result = result(cancelled);
      long now = nanos.getAsLong();
      long firstByte = firstByteAt == 0 ? now - startedAt : firstByteAt - startedAt;
      return new Observation(result, firstByte, now - startedAt, tokens);
    }

    private Observation.Result result(boolean cancelled) {
      if (complete) {
        return Observation.Result.OK;
      }
      if (error.filter(BackendBusyException.class::isInstance).isPresent()) {
        return Observation.Result.BUSY;
      }
      boolean endedByEntry = error.filter(RefusedException.class::isInstance).isPresent();
      return cancelled || endedByEntry ? Observation.Result.CANCELLED : Observation.Result.FAILED;
    }
  }
}
