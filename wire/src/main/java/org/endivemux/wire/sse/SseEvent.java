package org.endivemux.wire.sse;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Holds one complete server-sent event, with its bytes as received.
 *
 * <p>The array is passed on without a copy and must not be modified.
 */
@SuppressWarnings("ArrayRecordComponent") // Events are passed on, not compared.
public record SseEvent(byte[] raw) {
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_DIGITS = 18;

  /** Returns an event with the given text, which includes the terminating blank line. */
  public static SseEvent ofText(String text) {
    return new SseEvent(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the token position in the event's id, or empty if the id is no number. */
  public OptionalLong position() {
    int line = 0;
    while (line < raw.length && !startsWith(line, ID)) {
      line = nextLine(line);
    }
    return line >= raw.length ? OptionalLong.empty() : number(line + ID.length);
  }

  /** Returns whether this is the {@code [DONE]} event that ends a complete response. */
  public boolean isDone() {
    return startsWith(0, DONE);
  }

  private boolean startsWith(int offset, byte[] prefix) {
    int end = Math.min(raw.length, offset + prefix.length);
    return Arrays.equals(raw, offset, end, prefix, 0, prefix.length);
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
    boolean valid =
        !digits.isEmpty()
            && digits.length() <= MAX_DIGITS
            && digits.chars().allMatch(Character::isDigit);
    return valid ? OptionalLong.of(Long.parseLong(digits)) : OptionalLong.empty();
  }
}
