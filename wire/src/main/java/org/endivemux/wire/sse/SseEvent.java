package org.endivemux.wire.sse;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Holds one whole server-sent event as it came.
 *
 * <p>The array is handed on and never changed.
 */
@SuppressWarnings("ArrayRecordComponent") // Events are handed on, not compared.
public record SseEvent(byte[] raw) {
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_DIGITS = 18;

  /** Returns the event with a text. */
  public static SseEvent ofText(String text) {
    return new SseEvent(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the token position that the event's id tells. */
  public OptionalLong position() {
    int line = 0;
    while (line < raw.length && !startsWith(line, ID)) {
      line = nextLine(line);
    }
    return line >= raw.length ? OptionalLong.empty() : number(line + ID.length);
  }

  /** Returns whether this is the mark of a whole answer. */
  public boolean isDone() {
    return startsWith(0, DONE);
  }

  private boolean startsWith(int offset, byte[] wanted) {
    int end = Math.min(raw.length, offset + wanted.length);
    return Arrays.equals(raw, offset, end, wanted, 0, wanted.length);
  }

  private int nextLine(int from) {
    int at = from;
    while (at < raw.length && raw[at] != '\n') {
      at++;
    }
    return at + 1;
  }

  private OptionalLong number(int from) {
    int end = nextLine(from) - 1;
    String digits = new String(raw, from, end - from, StandardCharsets.US_ASCII).strip();
    boolean sound =
        !digits.isEmpty()
            && digits.length() <= MAX_DIGITS
            && digits.chars().allMatch(Character::isDigit);
    return sound ? OptionalLong.of(Long.parseLong(digits)) : OptionalLong.empty();
  }
}
