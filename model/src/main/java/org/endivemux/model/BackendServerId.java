package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a backend server. Immutable; never blank, at most {@value Ids#MAX_LENGTH} characters.
 */
public record BackendServerId(@JsonValue String value) implements Comparable<BackendServerId> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public BackendServerId {
    Ids.check("BackendServerId", value);
  }

  @Override
  public int compareTo(BackendServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
