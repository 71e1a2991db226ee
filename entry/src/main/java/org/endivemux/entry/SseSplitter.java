package org.endivemux.entry;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of bytes into whole server-sent events.
 *
 * <p>Invariant: a part of an event is never handed out. Used by one stream at a time.
 */
final class SseSplitter {
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream part = new ByteArrayOutputStream();
  private boolean afterNewline;

  /** Takes bytes and returns the events that they complete. */
  List<SseEvent> feed(byte[] bytes) {
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
      throw new BrokenAnswerException("An event of a stream is too long.");
    }
    return events;
  }
}
