package org.endivemux.model.gateway;

/** Says how often a request of a route may run. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** Is answered by events; runs at most once, unless the route lets a broken one be resumed. */
  STREAM
}
