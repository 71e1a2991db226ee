package org.endivemux.routing;

import java.util.Optional;
import org.endivemux.model.RetryReason;

/**
 * Decides whether a failed attempt may be followed by another, and for which reason.
 *
 * <p>Invariant: a request that may have run is sent again only if it may be repeated, and a
 * response of which the caller has a part only if it can be resumed. Stateless and thread-safe.
 */
public final class RetryPolicy {
  /** Attempts for one request, of which most end at servers that did not run it. */
  private static final int MAX_ATTEMPTS = 4;

  /** Attempts for a stream that gets on: a broken connection also loses events in transit. */
  private static final int MAX_ATTEMPTS_OF_A_RESUMED_STREAM = 8;

  /** Lists the ways in which an attempt fails. */
  public enum Failure {
    /** The backend server states that it did not run the request. */
    NOT_RUN,
    /** The backend server responded with an error. */
    SERVER_ERROR,
    /** The response, or its next part, did not arrive in time. */
    TIMEOUT,
    /** The connection or the response broke. */
    BROKEN
  }

  /** Lists what the caller already has of the response. */
  public enum Delivered {
    NOTHING,
    /** A part of a stream whose position is known. */
    RESUMABLE,
    /** A part that no other attempt can continue. */
    NOT_RESUMABLE
  }

  /**
   * Describes a failed attempt. Immutable and thread-safe.
   *
   * @param mayHaveBeenSent whether a byte of the request may have been sent
   */
  public record FailedAttempt(boolean mayHaveBeenSent, Failure failure, Delivered delivered) {
    /** Returns whether a backend server may have run the request. */
    public boolean mayHaveRun() {
      return mayHaveBeenSent && failure != Failure.NOT_RUN;
    }
  }

  private RetryPolicy() {}

  /**
   * Returns whether so many attempts leave another one.
   *
   * @param progressed whether attempts deliver parts of the response
   */
  public static boolean allowsAnother(int attempts, boolean progressed) {
    return attempts < (progressed ? MAX_ATTEMPTS_OF_A_RESUMED_STREAM : MAX_ATTEMPTS);
  }

  /**
   * Returns the reason for another attempt, or empty if none is allowed.
   *
   * @param mayRepeat whether the request may run once more
   */
  public static Optional<RetryReason> reason(FailedAttempt attempt, boolean mayRepeat) {
    if (!attempt.mayHaveBeenSent()) {
      return Optional.of(RetryReason.CONNECT_FAILED);
    }
    if (!attempt.mayHaveRun()) {
      return Optional.of(RetryReason.BACKEND_BUSY);
    }
    return mayRepeat ? reasonToRepeat(attempt) : Optional.empty();
  }

  private static Optional<RetryReason> reasonToRepeat(FailedAttempt attempt) {
    return switch (attempt.delivered()) {
      case RESUMABLE -> Optional.of(RetryReason.STREAM_RESUMED);
      case NOT_RESUMABLE -> Optional.empty();
      case NOTHING ->
          Optional.of(
              switch (attempt.failure()) {
                case NOT_RUN -> RetryReason.BACKEND_BUSY;
                case SERVER_ERROR -> RetryReason.BACKEND_ERROR;
                case TIMEOUT -> RetryReason.SILENT_BEFORE_ANSWER;
                case BROKEN -> RetryReason.BROKEN_BEFORE_ANSWER;
              });
    };
  }
}
