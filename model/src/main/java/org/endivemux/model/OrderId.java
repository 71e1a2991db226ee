package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a capacity order to the platform. Immutable; never blank, at most {@value
 * Ids#MAX_LENGTH} characters.
 */
public record OrderId(@JsonValue String value) implements Comparable<OrderId> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public OrderId {
    Ids.check("OrderId", value);
  }

  @Override
  public int compareTo(OrderId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
