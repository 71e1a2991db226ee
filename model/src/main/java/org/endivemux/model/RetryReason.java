package org.endivemux.model;

/**
 * Lists all reasons for which an entry retries a request or resumes a stream.
 *
 * <p>Each has a counter {@code retries.NAME}. Immutable and thread-safe.
 */
public enum RetryReason {
  /** No connection was opened, so no byte of the request was sent. */
  CONNECT_FAILED,
  /** The backend server reported that it has not run the request, such as by status 503. */
  BACKEND_BUSY,
  /** The backend server responded to a repeatable request with a server error. */
  BACKEND_ERROR,
  /** A repeatable request's connection broke before the first byte of the response. */
  BROKEN_BEFORE_ANSWER,
  /** The first byte of a repeatable request's response did not arrive within the timeout. */
  SILENT_BEFORE_ANSWER,
  /** A stream broke and is resumed after the last token position that the caller has received. */
  STREAM_RESUMED
}
