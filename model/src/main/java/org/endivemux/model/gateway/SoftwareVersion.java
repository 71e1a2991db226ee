package org.endivemux.model.gateway;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of the software that a backend server runs, as the platform lists it. Versions have no
 * order. Immutable and thread-safe; never blank, at most {@value #MAX_LENGTH} characters.
 */
public record SoftwareVersion(@JsonValue String value) {
  static final int MAX_LENGTH = 200;

  /** Stands for the versions of servers that state none. */
  public static final SoftwareVersion UNSTATED = new SoftwareVersion("(unstated)");

  /** Throws {@link IllegalArgumentException} when the value is not a valid version. */
  @JsonCreator
  public SoftwareVersion {
    if (value == null || value.isBlank() || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "A software version must have 1 to " + MAX_LENGTH + " characters and not be blank.");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
