package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifies a part of a prompt; equal ids stand for equal content. Callers choose the text.
 * Immutable and thread-safe.
 */
public record PromptPartId(@JsonValue String value) implements Comparable<PromptPartId> {

  @JsonCreator
  public PromptPartId {
    Objects.requireNonNull(value);
  }

  @Override
  public int compareTo(PromptPartId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
