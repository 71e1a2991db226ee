package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one life of a data folder; a lost disk comes back under a new id. Immutable; never
 * blank, at most {@value Ids#MAX_LENGTH} characters.
 */
public record DiskId(@JsonValue String value) implements Comparable<DiskId> {

  /** Throws {@link IllegalArgumentException} with a full sentence when the text is no id. */
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
