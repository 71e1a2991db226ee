package org.endivemux.daemon;

import java.util.Arrays;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets up the log of a process. Stateless. */
final class Logging {
  private Logging() {}

  /** Writes events to standard output; to be called before anything logs. */
  static void start() {
    System.setProperty("java.util.logging.manager", KeepingLogManager.class.getName());
    Logger root = Logger.getLogger("");
    Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
    root.addHandler(new BoundedLogHandler(System.out, System::nanoTime).start());
    root.setLevel(Level.INFO);
    Logger.getLogger("reactor.netty").setLevel(Level.SEVERE);
    Logger.getLogger("io.netty").setLevel(Level.SEVERE);
  }

  /** Writes what still waits; to be called before the process ends. */
  static void flush() {
    Arrays.stream(Logger.getLogger("").getHandlers()).forEach(Handler::flush);
  }
}
