package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a declared class of requests. Immutable; never blank, at most {@value Ids#MAX_LENGTH}
 * characters.
 */
public record ClassName(@JsonValue String value) implements Comparable<ClassName> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public ClassName {
    Ids.check("ClassName", value);
  }

  @Override
  public int compareTo(ClassName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
