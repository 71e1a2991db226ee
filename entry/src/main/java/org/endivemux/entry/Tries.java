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
import reactor.core.publisher.Flux;

/**
 * Sends a request, and sends it again elsewhere when that is safe.
 *
 * <p>Invariants: a request that must not be repeated is sent again only when no byte left; retries
 * stay within the class's budget; a final refusal says "not run" only when no byte of any try left.
 * Thread-safe.
 */
final class Tries {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_TRIES = 4;

  private final Dispatcher dispatcher;
  private final RetryBudget budget;
  private final Counters counters;
  private final LongSupplier nanos;

  Tries(Dispatcher dispatcher, RetryBudget budget, Counters counters, LongSupplier nanos) {
    this.dispatcher = dispatcher;
    this.budget = budget;
    this.counters = counters;
    this.nanos = nanos;
  }

  /** Sends a request once to one backend server. */
  interface Sender<T> {
    Flux<T> send(Assignment assignment, OneTry oneTry);
  }

  /** Runs a request to its end; fails with {@link RefusedException}. */
  <T> Flux<T> run(Work work, Sender<T> sender) {
    budget.requested(work.requestClass().name());
    return run(work, sender, new History(1, false));
  }

  private <T> Flux<T> run(Work work, Sender<T> sender, History history) {
    OneTry oneTry = new OneTry(nanos);
    return dispatcher
        .acquire(work.job())
        .flatMapMany(assignment -> once(work, assignment, sender, oneTry))
        .onErrorResume(error -> again(work, sender, history.after(oneTry), oneTry, error));
  }

  /** Runs one try; its room is given back before anyone hears of its end and may try again. */
  private <T> Flux<T> once(Work work, Assignment assignment, Sender<T> sender, OneTry oneTry) {
    return Flux.defer(
            () -> {
              oneTry.start(assignment);
              return sender.send(assignment, oneTry);
            })
        .doOnError(oneTry::failed)
        .doOnTerminate(() -> dispatcher.release(work.job().id(), oneTry.observation(false)))
        .doOnCancel(() -> dispatcher.release(work.job().id(), oneTry.observation(true)));
  }

  private <T> Flux<T> again(
      Work work, Sender<T> sender, History history, OneTry oneTry, Throwable error) {
    Optional<RetryReason> reason =
        retryReason(work, oneTry, error)
            .filter(allowed -> history.tries() < MAX_TRIES)
            .filter(allowed -> budget.tryRetry(work.requestClass().name()));
    if (reason.isEmpty()) {
      return Flux.error(refusal(history, oneTry, error));
    }
    counters.retried(reason.get());
    logger.atInfo().log(
        "event=retry request=%s reason=%s backend=%s",
        work.job().id(), reason.get(), oneTry.serverName());
    return run(work, sender, history.next());
  }

  private static Optional<RetryReason> retryReason(Work work, OneTry oneTry, Throwable error) {
    if (error instanceof RefusedException || !oneTry.started()) {
      return Optional.empty();
    }
    if (!oneTry.sent().mayHaveLeft()) {
      return Optional.of(RetryReason.CONNECT_FAILED);
    }
    if (!work.job().repeatable()) {
      return Optional.empty();
    }
    if (error instanceof BackendBusyException) {
      return Optional.of(RetryReason.BACKEND_BUSY);
    }
    if (oneTry.hasDelivered()) {
      return oneTry.resumable() ? Optional.of(RetryReason.STREAM_RESUMED) : Optional.empty();
    }
    return Optional.of(
        isSilence(error) ? RetryReason.SILENT_BEFORE_ANSWER : RetryReason.BROKEN_BEFORE_ANSWER);
  }

  private static boolean isSilence(Throwable error) {
    return error instanceof TimeoutException || error instanceof ReadTimeoutException;
  }

  private static RefusedException refusal(History history, OneTry oneTry, Throwable error) {
    if (error instanceof RefusedException it) {
      boolean untrue = history.everLeft() && it.reason().executionStatus() == ExecutionStatus.NOT_RUN;
      return untrue ? new RefusedException(Reason.BACKEND_FAILED, it.detail()) : it;
    }
    if (!history.everLeft()) {
      return new RefusedException(Reason.BACKEND_UNREACHABLE);
    }
    if (oneTry.hasDelivered()) {
      return new RefusedException(Reason.ANSWER_BROKEN);
    }
    return new RefusedException(isSilence(error) ? Reason.BACKEND_TIMEOUT : Reason.BACKEND_FAILED);
  }

  /** Holds what earlier tries of a request have done. Immutable and thread-safe. */
  private record History(int tries, boolean everLeft) {
    History after(OneTry oneTry) {
      return new History(tries, everLeft || oneTry.sent().mayHaveLeft());
    }

    History next() {
      return new History(tries + 1, everLeft);
    }
  }

  /** Follows one try. Used by one try on its event loop; {@code sent} is thread-safe. */
  static final class OneTry {
    private final LongSupplier nanos;
    private final BackendClient.Sent sent = new BackendClient.Sent();
    private Optional<Assignment> assignment = Optional.empty();
    private Optional<Throwable> error = Optional.empty();
    private long startedAt;
    private long firstByteAt;
    private int tokens;
    private boolean delivered;
    private boolean resumable;
    private boolean whole;

    OneTry(LongSupplier nanos) {
      this.nanos = nanos;
    }

    private void start(Assignment chosen) {
      assignment = Optional.of(chosen);
      startedAt = nanos.getAsLong();
    }

    private void failed(Throwable cause) {
      error = Optional.of(cause);
    }

    BackendClient.Sent sent() {
      return sent;
    }

    boolean started() {
      return assignment.isPresent();
    }

    String serverName() {
      return assignment.map(chosen -> chosen.server().id().value()).orElse("none");
    }

    /** Notes tokens of the answer. */
    void received(int more) {
      if (firstByteAt == 0) {
        firstByteAt = nanos.getAsLong();
      }
      tokens += more;
    }

    /** Notes that the caller has a part of the answer. */
    void delivered(boolean canResume) {
      delivered = true;
      resumable = canResume;
    }

    /** Notes that the answer is here to its end. */
    void completed() {
      received(0);
      whole = true;
    }

    boolean isWhole() {
      return whole;
    }

    boolean hasDelivered() {
      return delivered;
    }

    boolean resumable() {
      return resumable;
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
      if (whole) {
        return Observation.Result.OK;
      }
      if (error.filter(BackendBusyException.class::isInstance).isPresent()) {
        return Observation.Result.BUSY;
      }
      boolean callers = error.filter(RefusedException.class::isInstance).isPresent();
      return cancelled || callers ? Observation.Result.CANCELLED : Observation.Result.FAILED;
    }
  }
}
