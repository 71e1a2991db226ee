package org.endivemux.routing;

/**
 * Holds the measurements of one finished attempt at a backend server. Immutable and thread-safe.
 *
 * @param firstByteNanos time from sending the request to the first byte of the answer
 * @param totalNanos time from sending the request to the end of the answer
 * @param answerTokens number of tokens in the answer; 0 for a plain service
 */
public record Observation(Result result, long firstByteNanos, long totalNanos, int answerTokens) {
  /** Describes how an attempt ended. */
  public enum Result {
    OK,
    /** The backend server could not be reached or broke the connection. */
    FAILED,
    /** The backend server reported that it has no free capacity. */
    BUSY,
    /** The caller cancelled; this says nothing about the backend server. */
    CANCELLED
  }
}
