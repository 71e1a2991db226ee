package org.endivemux.daemon;

import java.util.Arrays;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets up the log of a process. Stateless. */
final class Logging {
  private Logging() {}

  /** Writes events to standard error; to be called before anything logs. */
  static void start() {
    System.setProperty("java.util.logging.manager", KeepingLogManager.class.getName());
    Logger root = Logger.getLogger("");
    Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
    Handler handler = new ConsoleHandler();
    handler.setFormatter(new KeyValueFormatter());
    root.addHandler(handler);
    root.setLevel(Level.INFO);
    Logger.getLogger("reactor.netty").setLevel(Level.SEVERE);
    Logger.getLogger("io.netty").setLevel(Level.SEVERE);
  }
}
