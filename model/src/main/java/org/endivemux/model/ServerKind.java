package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Tells how long a backend server can be counted on. Immutable and thread-safe. */
public enum ServerKind {
  /** Stays until the operator gives it up. */
  @JsonProperty("steady")
  STEADY,
  /** Can be reclaimed by the platform, with all of its failure domain, at seconds' notice. */
  @JsonProperty("cheap")
  CHEAP
}
