package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a failure domain. Immutable; never blank, at most {@value Ids#MAX_LENGTH} characters.
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public FailureDomain {
    Ids.check("FailureDomain", value);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
