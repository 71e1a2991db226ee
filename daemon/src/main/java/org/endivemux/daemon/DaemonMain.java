package org.endivemux.daemon;

/**
 * Starts the daemon from its command line.
 *
 * <p>Nothing here logs, so that the log is set up before the first logger is made.
 */
public final class DaemonMain {
  private DaemonMain() {}

  public static void main(String[] args) throws InterruptedException {
    Logging.start();
    int status = DaemonProcess.run(args);
    if (status >= 0) {
      System.exit(status);
    }
    keepRunning();
  }

  /** Blocks for good: all other threads of an entry without a vote are daemon threads. */
  private static void keepRunning() throws InterruptedException {
    Thread.currentThread().join();
  }
}
