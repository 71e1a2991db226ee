package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one instance of a data folder; a replaced disk gets a new id. Immutable; never blank,
 * at most {@value Ids#MAX_LENGTH} characters.
 */
public record DiskId(@JsonValue String value) implements Comparable<DiskId> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public DiskId {
    Ids.check("DiskId", value);
  }

  @Override
  public int compareTo(DiskId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
