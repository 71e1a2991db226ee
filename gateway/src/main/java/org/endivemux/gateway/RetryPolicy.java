package org.endivemux.gateway;

import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.endivemux.gateway.BackendPort.SendMarker;
import org.endivemux.model.RetryReason;
import org.endivemux.model.gateway.HostRoute;

/**
 * Decides whether a failed try may be followed by another, and why.
 *
 * <p>Invariant: what may have run is sent again only on a route whose requests may be repeated, and
 * to no more backend servers than the route allows. Stateless and thread-safe.
 */
final class RetryPolicy {
  private RetryPolicy() {}

  /** Returns whether a backend server may have run the try. */
  static boolean mayHaveRun(SendMarker left, Throwable error) {
    return left.mayHaveSent() && !(error instanceof AttemptFailure.NotRun);
  }

  static Optional<RetryReason> reason(
      HostRoute route, Progress progress, SendMarker left, Throwable error) {
    if (!left.mayHaveSent()) {
      return Optional.of(RetryReason.CONNECT_FAILED);
    }
    if (!mayHaveRun(left, error)) {
      return Optional.of(RetryReason.BACKEND_BUSY);
    }
    if (!route.repeatable() || progress.runs() >= route.maxServers()) {
      return Optional.empty();
    }
    if (progress.headDelivered()) {
      return progress.lastEvent().isPresent()
          ? Optional.of(RetryReason.STREAM_RESUMED)
          : Optional.empty();
    }
    return Optional.of(beforeAnyAnswer(error));
  }

  private static RetryReason beforeAnyAnswer(Throwable error) {
    if (error instanceof AttemptFailure.ServerError) {
      return RetryReason.BACKEND_ERROR;
    }
    return error instanceof TimeoutException
        ? RetryReason.SILENT_BEFORE_ANSWER
        : RetryReason.BROKEN_BEFORE_ANSWER;
  }
}
