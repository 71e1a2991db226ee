package org.endivemux.gateway;

/**
 * Lists what happens to requests that are late at their first backend server.
 *
 * <p>Each has a counter {@code hedges.NAME}. Immutable and thread-safe.
 */
enum HedgeOutcome {
  /** The request was sent to a second server as well. */
  SENT,
  /** The second server was the first to respond. */
  WON,
  /** The first server was the first to respond, after the second attempt had started. */
  LOST,
  /** The second attempt failed before either server responded. */
  FAILED,
  /** Not sent: the share that the operator allows is used up. */
  OVER_BUDGET,
  /** Not sent: the service has no repeat left. */
  NO_REPEAT_LEFT,
  /** Not sent: most recent requests of the route are late. */
  ALL_SLOW,
  /** Not sent: no other server would begin sooner, or requests of the service wait. */
  NO_FASTER_SERVER,
  /** Not sent: the caller's deadline is too near. */
  TOO_LATE
}
