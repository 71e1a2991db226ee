package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of a process. Immutable; never blank, at most {@value Ids#MAX_LENGTH}
 * characters.
 */
public record Incarnation(@JsonValue String value) implements Comparable<Incarnation> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public Incarnation {
    Ids.check("Incarnation", value);
  }

  @Override
  public int compareTo(Incarnation other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
