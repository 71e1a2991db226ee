package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a VM of the system. Immutable; never blank, at most {@value Ids#MAX_LENGTH}
 * characters.
 */
public record VmId(@JsonValue String value) implements Comparable<VmId> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public VmId {
    Ids.check("VmId", value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
