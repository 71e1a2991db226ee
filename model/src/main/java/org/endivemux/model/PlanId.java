package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a proposed plan. Immutable; never blank, at most {@value Ids#MAX_LENGTH} characters.
 */
public record PlanId(@JsonValue String value) implements Comparable<PlanId> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public PlanId {
    Ids.check("PlanId", value);
  }

  @Override
  public int compareTo(PlanId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
