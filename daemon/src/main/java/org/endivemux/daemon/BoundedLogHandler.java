package org.endivemux.daemon;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own.
 *
 * <p>Invariants: a caller never waits for the output; at most {@value #LINES_PER_SECOND} lines a
 * second and {@value #QUEUED} in waiting are kept, and a line tells how many were left out.
 * Thread-safe.
 */
final class BoundedLogHandler extends Handler {
  static final int LINES_PER_SECOND = 300;
  static final int QUEUED = 2000;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long POLL_MILLIS = 200;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUED);
  private final PrintStream out;
  private final LongSupplier nanos;
  private long second;
  private int inSecond;
  private long leftOut;

  BoundedLogHandler(PrintStream out, LongSupplier nanos) {
    this.out = out;
    this.nanos = nanos;
    this.second = nanos.getAsLong() / NANOS_PER_SECOND;
    setFormatter(new KeyValueFormatter());
  }

  /** Starts the thread that writes; it ends with the process. */
  BoundedLogHandler start() {
    Thread writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
    return this;
  }

  @Override
  public void publish(LogRecord entry) {
    if (isLoggable(entry) && take(entry)) {
      offer(getFormatter().format(entry));
    }
  }

  /** Counts a line; returns whether it may be written. Severe ones always may. */
  private synchronized boolean take(LogRecord entry) {
    long present = nanos.getAsLong() / NANOS_PER_SECOND;
    if (present != second) {
      second = present;
      inSecond = 0;
      tellLeftOut();
    }
    inSecond++;
    boolean taken =
        inSecond <= LINES_PER_SECOND
            || entry.getLevel().intValue() >= java.util.logging.Level.SEVERE.intValue();
    leftOut += taken ? 0 : 1;
    return taken;
  }

  private void tellLeftOut() {
    if (leftOut > 0) {
      long told = leftOut;
      leftOut = 0;
      offer("event=log_left_out lines=" + told + System.lineSeparator());
    }
  }

  private synchronized void offer(String line) {
    leftOut += lines.offer(line) ? 0 : 1;
  }

  private void write() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        String line = lines.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
        if (line != null) {
          out.print(line);
          drain();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void drain() {
    String line = lines.poll();
    while (line != null) {
      out.print(line);
      line = lines.poll();
    }
    out.flush();
  }

  @Override
  public void flush() {
    drain();
  }

  @Override
  public void close() {
    drain();
  }
}
