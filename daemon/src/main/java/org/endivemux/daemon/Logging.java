package org.endivemux.daemon;

import java.util.Arrays;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the log of a process. Stateless. */
final class Logging {
  private Logging() {}

  /** Directs the log to standard output; must be called before anything logs. */
  static void start() {
    System.setProperty("java.util.logging.manager", NoResetLogManager.class.getName());
    Logger root = Logger.getLogger("");
    Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
    root.addHandler(new BoundedLogHandler(System.out, System::nanoTime).start());
    root.setLevel(Level.INFO);
    Logger.getLogger("reactor.netty").setLevel(Level.SEVERE);
    Logger.getLogger("io.netty").setLevel(Level.SEVERE);
  }

  /** Writes all queued lines; must be called before the process exits. */
  static void flush() {
    Arrays.stream(Logger.getLogger("").getHandlers()).forEach(Handler::flush);
  }
}
