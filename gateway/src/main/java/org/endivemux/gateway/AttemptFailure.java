package org.endivemux.gateway;

import org.endivemux.routing.fleet.TryEnd;

/** Signals that a try ended without an answer to pass on. Immutable. */
abstract sealed class AttemptFailure extends RuntimeException {
  private static final long serialVersionUID = 1;

  private AttemptFailure(String message) {
    super(message, null, false, false);
  }

  /** Returns how a try ended that failed with an error. */
  static TryEnd endOf(Throwable error) {
    if (error instanceof NotRun it) {
      return it.elsewhere ? TryEnd.GONE : TryEnd.FULL;
    }
    return error instanceof ServerError ? TryEnd.ERROR : TryEnd.FAILED;
  }

  /** Signals that the backend server says that it has not run the request. */
  static final class NotRun extends AttemptFailure {
    private static final long serialVersionUID = 1;

    private final boolean elsewhere;

    /** Makes the signal; {@code elsewhere} says that another server has the address now. */
    NotRun(boolean elsewhere) {
      super("The backend server did not take the request.");
      this.elsewhere = elsewhere;
    }
  }

  /** Signals a backend server's own error answer, which was kept. */
  static final class ServerError extends AttemptFailure {
    private static final long serialVersionUID = 1;

    ServerError() {
      super("The backend server answered with an error.");
    }
  }
}
