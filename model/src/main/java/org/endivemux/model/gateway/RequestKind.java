package org.endivemux.model.gateway;

/** States how often a request of a route may run. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /**
   * Gets a stream of events; runs at most once, unless the route allows resuming a broken stream.
   */
  STREAM
}
