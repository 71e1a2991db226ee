package org.endivemux.wire.sse;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.endivemux.wire.WireException;

/**
 * Cuts a stream of bytes into whole server-sent events.
 *
 * <p>Invariant: a part of an event is never handed out. Used by one stream at a time.
 */
public final class SseSplitter {
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream part = new ByteArrayOutputStream();
  private boolean afterNewline;

  /** Takes bytes and returns the events that they complete. */
  public List<SseEvent> feed(byte[] bytes) {
    List<SseEvent> events = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n' && afterNewline) {
        part.write(bytes, start, i + 1 - start);
        events.add(new SseEvent(part.toByteArray()));
        part.reset();
        start = i + 1;
        afterNewline = false;
      } else if (bytes[i] != '\r') {
        afterNewline = bytes[i] == '\n';
      }
    }
    part.write(bytes, start, bytes.length - start);
    if (part.size() > MAX_EVENT_BYTES) {
      throw new WireException("An event of a stream is too long.");
    }
    return events;
  }

  /** Returns whether no part of an event is left over. */
  public boolean isBetweenEvents() {
    return part.size() == 0;
  }
}
