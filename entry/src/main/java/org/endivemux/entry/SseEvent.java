package org.endivemux.entry;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Holds one whole server-sent event as it came.
 *
 * <p>The array is handed on and never changed.
 */
@SuppressWarnings("ArrayRecordComponent") // Events are handed on, not compared.
record SseEvent(byte[] raw) {
  private static final String ID = "id:";
  private static final String DONE = "data: [DONE]";

  /** Returns the event with a text. */
  static SseEvent ofText(String text) {
    return new SseEvent(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the token position that the event's id tells. */
  OptionalLong position() {
    return text()
        .lines()
        .filter(line -> line.startsWith(ID))
        .map(line -> line.substring(ID.length()).strip())
        .filter(digits -> !digits.isEmpty() && digits.chars().allMatch(Character::isDigit))
        .mapToLong(Long::parseLong)
        .findFirst();
  }

  /** Returns whether this is the mark of a whole answer. */
  boolean isDone() {
    return text().startsWith(DONE);
  }

  private String text() {
    return new String(raw, StandardCharsets.UTF_8);
  }
}
