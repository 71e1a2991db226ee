package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a key by its hexadecimal SHA-256 digest. Immutable; never blank, at most {@value
 * Ids#MAX_LENGTH} characters.
 */
public record KeyDigest(@JsonValue String value) implements Comparable<KeyDigest> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public KeyDigest {
    Ids.check("KeyDigest", value);
  }

  @Override
  public int compareTo(KeyDigest other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
