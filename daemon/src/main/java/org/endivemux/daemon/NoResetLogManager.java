package org.endivemux.daemon;

import java.util.logging.LogManager;

/** Ignores resets, so that the log stays open while the process drains at shutdown. Thread-safe. */
public final class NoResetLogManager extends LogManager {
  @Override
  public void reset() {
    // The JDK's own shutdown hook calls this, which would close all handlers before draining ends.
  }
}
