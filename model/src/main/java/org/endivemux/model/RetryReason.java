package org.endivemux.model;

/**
 * Lists every reason for which an entry sends a request, or the rest of it, a second time.
 *
 * <p>Each has a counter {@code retries.NAME}. Immutable and thread-safe.
 */
public enum RetryReason {
  /** No connection was opened, so no byte left. */
  CONNECT_FAILED,
  /** The backend server answered 503 and so had not run the request. */
  BACKEND_BUSY,
  /** The backend server answered a repeatable request with an error of its own. */
  BACKEND_ERROR,
  /** A repeatable request's connection broke before the first byte of the answer. */
  BROKEN_BEFORE_ANSWER,
  /** A repeatable request had no first byte within the limit. */
  SILENT_BEFORE_ANSWER,
  /** A stream broke and goes on elsewhere from the token position that the caller has. */
  STREAM_RESUMED
}
