package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one life of a process. Immutable; never blank, at most {@value Ids#MAX_LENGTH}
 * characters.
 */
public record Incarnation(@JsonValue String value) implements Comparable<Incarnation> {

  /** Throws {@link IllegalArgumentException} with a full sentence when the text is no id. */
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
