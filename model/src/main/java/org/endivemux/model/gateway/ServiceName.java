package org.endivemux.model.gateway;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Names a service, a group of equivalent backend servers. Immutable and thread-safe. */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {

  /** Throws {@link IllegalArgumentException} for an empty name. */
  @JsonCreator
  public ServiceName {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("A service needs a name.");
    }
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
