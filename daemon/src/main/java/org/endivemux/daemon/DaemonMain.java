package org.endivemux.daemon;

/**
 * Starts the daemon from its command line.
 *
 * <p>This class has no logger, so that logging is configured before the first logger is created.
 */
public final class DaemonMain {
  private DaemonMain() {}

  public static void main(String[] args) throws InterruptedException {
    HangupSignal.install();
    Logging.start();
    int status = DaemonProcess.run(args);
    if (status >= 0) {
      System.exit(status);
    }
    blockForever();
  }

  /**
   * Blocks forever. In an entry that is not a voter, all other threads are daemon threads, so the
   * JVM would exit without this one.
   */
  private static void blockForever() throws InterruptedException {
    Thread.currentThread().join();
  }
}
