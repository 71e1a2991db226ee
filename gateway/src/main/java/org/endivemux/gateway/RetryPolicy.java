package org.endivemux.gateway;

import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.endivemux.gateway.BackendPort.SendMarker;
import org.endivemux.model.RetryReason;
import org.endivemux.model.gateway.HostRoute;

/**
 * Decides whether a failed attempt may be followed by another, and for which reason.
 *
 * <p>Invariant: a request that may have run is sent again only on a route whose requests may be
 * repeated, and to no more backend servers than the route allows. Stateless and thread-safe.
 */
final class RetryPolicy {
  private RetryPolicy() {}

  /** Returns whether a backend server may have run the attempt. */
  static boolean mayHaveRun(SendMarker marker, Throwable error) {
    return marker.mayHaveSent() && !(error instanceof AttemptFailure.NotRun);
  }

  static Optional<RetryReason> reason(
      HostRoute route, Progress progress, SendMarker marker, Throwable error) {
    if (!marker.mayHaveSent()) {
      return Optional.of(RetryReason.CONNECT_FAILED);
    }
    if (!mayHaveRun(marker, error)) {
      return Optional.of(RetryReason.BACKEND_BUSY);
    }
    if (!route.repeatable() || progress.possibleRuns() >= route.maxServers()) {
      return Optional.empty();
    }
    if (progress.headDelivered()) {
      return progress.lastEvent().isPresent()
          ? Optional.of(RetryReason.STREAM_RESUMED)
          : Optional.empty();
    }
    return Optional.of(reasonBeforeResponse(error));
  }

  private static RetryReason reasonBeforeResponse(Throwable error) {
    if (error instanceof AttemptFailure.ServerError) {
      return RetryReason.BACKEND_ERROR;
    }
    return error instanceof TimeoutException
        ? RetryReason.SILENT_BEFORE_ANSWER
        : RetryReason.BROKEN_BEFORE_ANSWER;
  }
}
