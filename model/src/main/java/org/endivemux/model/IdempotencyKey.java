package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an at-most-once call within one organisation. Immutable; never blank, at most {@value
 * Ids#MAX_LENGTH} characters.
 */
public record IdempotencyKey(@JsonValue String value) implements Comparable<IdempotencyKey> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public IdempotencyKey {
    Ids.check("IdempotencyKey", value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
