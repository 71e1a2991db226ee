package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** States whether the platform may preempt a backend server. Immutable and thread-safe. */
public enum ServerKind {
  /** Stays until the operator releases it. */
  @JsonProperty("steady")
  STEADY,
  /**
   * A spot (preemptible) server: the platform can reclaim it, together with its whole failure
   * domain, at a few seconds' notice.
   */
  @JsonProperty("cheap")
  CHEAP
}
