package org.endivemux.wire;

import java.util.concurrent.atomic.AtomicBoolean;

/** Records whether a byte of a request may have been sent; it never resets. Thread-safe. */
public final class SendMarker {
  private final AtomicBoolean value = new AtomicBoolean();

  public boolean mayHaveSent() {
    return value.get();
  }

  public void markSent() {
    value.set(true);
  }
}
