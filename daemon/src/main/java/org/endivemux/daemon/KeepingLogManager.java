package org.endivemux.daemon;

import java.util.logging.LogManager;

/** Keeps the log open while the process drains at shutdown. Thread-safe. */
public final class KeepingLogManager extends LogManager {
  @Override
  public void reset() {
    // The platform resets handlers in a shutdown hook of its own, before draining has ended.
  }
}
