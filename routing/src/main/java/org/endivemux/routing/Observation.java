package org.endivemux.routing;

/**
 * Holds what one finished try showed of a backend server. Immutable and thread-safe.
 *
 * @param firstByteNanos from sending to the first byte of the answer
 * @param totalNanos from sending to the end
 * @param answerTokens tokens of the answer; 0 for a plain service
 */
public record Observation(Result result, long firstByteNanos, long totalNanos, int answerTokens) {
  /** Tells how a try ended. */
  public enum Result {
    OK,
    /** The backend server could not be reached or broke the connection. */
    FAILED,
    /** The backend server said that it has no room. */
    BUSY,
    /** The caller went away; says nothing of the backend server. */
    CANCELLED
  }
}
