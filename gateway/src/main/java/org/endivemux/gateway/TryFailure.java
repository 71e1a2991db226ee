package org.endivemux.gateway;

import org.endivemux.routing.fleet.AttemptResult;

/** Signals that a try ended without an answer to pass on. Immutable. */
abstract sealed class TryFailure extends RuntimeException {
  private static final long serialVersionUID = 1;

  private TryFailure(String message) {
    super(message, null, false, false);
  }

  /** Returns how a try ended that failed with an error. */
  static AttemptResult endOf(Throwable error) {
    if (error instanceof NotRun it) {
      return it.elsewhere ? AttemptResult.GONE : AttemptResult.FULL;
    }
    return error instanceof ServerError ? AttemptResult.ERROR : AttemptResult.FAILED;
  }

  /** Signals that the backend server says that it has not run the request. */
  static final class NotRun extends TryFailure {
    private static final long serialVersionUID = 1;

    private final boolean elsewhere;

    /** Makes the signal; {@code elsewhere} says that another server has the address now. */
    NotRun(boolean elsewhere) {
      super("The backend server did not take the request.");
      this.elsewhere = elsewhere;
    }
  }

  /** Signals a backend server's own error answer, which was kept. */
  static final class ServerError extends TryFailure {
    private static final long serialVersionUID = 1;

    ServerError() {
      super("The backend server answered with an error.");
    }
  }
}
