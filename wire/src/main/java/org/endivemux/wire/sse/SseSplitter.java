package org.endivemux.wire.sse;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.endivemux.wire.WireException;

/**
 * Splits a byte stream into complete server-sent events.
 *
 * <p>Invariant: an incomplete event is never returned. Not thread-safe; each stream uses its own
 * instance.
 */
public final class SseSplitter {
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private boolean afterNewline;

  /** Adds bytes and returns the events that they complete. */
  public List<SseEvent> feed(byte[] bytes) {
    List<SseEvent> events = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n' && afterNewline) {
        partial.write(bytes, start, i + 1 - start);
        events.add(new SseEvent(partial.toByteArray()));
        partial.reset();
        start = i + 1;
        afterNewline = false;
      } else if (bytes[i] != '\r') {
        afterNewline = bytes[i] == '\n';
      }
    }
    partial.write(bytes, start, bytes.length - start);
    if (partial.size() > MAX_EVENT_BYTES) {
      throw new WireException(
          "An event of the stream is longer than " + MAX_EVENT_BYTES + " bytes.");
    }
    return events;
  }

  /** Returns the number of bytes that belong to an event that is not complete yet. */
  public int partialBytes() {
    return partial.size();
  }

  /** Returns whether the bytes so far end with a complete event. */
  public boolean isBetweenEvents() {
    return partial.size() == 0;
  }
}
