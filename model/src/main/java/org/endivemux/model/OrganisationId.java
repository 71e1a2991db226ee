package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an organisation. Immutable; never blank, at most {@value Ids#MAX_LENGTH} characters.
 */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {

  /** Throws {@link IllegalArgumentException} when the value is not a valid id. */
  @JsonCreator
  public OrganisationId {
    Ids.check("OrganisationId", value);
  }

  @Override
  public int compareTo(OrganisationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
