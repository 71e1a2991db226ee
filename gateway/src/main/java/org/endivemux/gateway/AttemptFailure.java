package org.endivemux.gateway;

import java.util.concurrent.TimeoutException;
import org.endivemux.routing.RetryPolicy.Failure;
import org.endivemux.routing.fleet.AttemptResult;
import org.endivemux.wire.SendMarker;

/** Signals that an attempt ended without a response to pass on. Immutable. */
abstract sealed class AttemptFailure extends RuntimeException {
  private static final long serialVersionUID = 1;

  private AttemptFailure(String message) {
    super(message, null, false, false);
  }

  /** Returns how an attempt that failed ended; one that was held back is no fault of its server. */
  static AttemptResult endOf(SendMarker marker, Throwable error) {
    if (marker.isHeldBack()) {
      return AttemptResult.CANCELLED;
    }
    if (error instanceof NotRun it) {
      return it.addressReassigned ? AttemptResult.GONE : AttemptResult.FULL;
    }
    if (error instanceof TimeoutException) {
      return AttemptResult.SILENT;
    }
    if (error instanceof BackendPort.ConnectionRefused) {
      return AttemptResult.REFUSED;
    }
    return error instanceof ServerError ? AttemptResult.ERROR : AttemptResult.FAILED;
  }

  /** Returns how an attempt failed, as far as it matters for another one. */
  static Failure failureOf(Throwable error) {
    if (error instanceof NotRun) {
      return Failure.NOT_RUN;
    }
    if (error instanceof ServerError) {
      return Failure.SERVER_ERROR;
    }
    return error instanceof TimeoutException ? Failure.TIMEOUT : Failure.BROKEN;
  }

  /** Signals that the backend server states that it did not run the request. */
  static final class NotRun extends AttemptFailure {
    private static final long serialVersionUID = 1;

    private final boolean addressReassigned;

    /**
     * @param addressReassigned whether the address now belongs to another backend server
     */
    NotRun(boolean addressReassigned) {
      super("The backend server did not accept the request.");
      this.addressReassigned = addressReassigned;
    }
  }

  /** Signals an error response of the backend server, which was retained. */
  static final class ServerError extends AttemptFailure {
    private static final long serialVersionUID = 1;

    ServerError() {
      super("The backend server answered with an error.");
    }
  }
}
