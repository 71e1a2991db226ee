package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one request of a caller. Immutable; never blank, at most {@value Ids#MAX_LENGTH}
 * characters.
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public RequestId {
    Ids.check("RequestId", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
