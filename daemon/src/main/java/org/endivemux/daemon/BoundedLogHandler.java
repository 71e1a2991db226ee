package org.endivemux.daemon;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a dedicated thread, at a bounded rate.
 *
 * <p>Invariants: a thread that logs never waits for the output; at most {@value #LINES_PER_SECOND}
 * lines a second are accepted, apart from severe ones, and at most {@value #QUEUE_CAPACITY} are
 * queued. Other lines are dropped, and an event reports their number. Thread-safe.
 */
final class BoundedLogHandler extends Handler {
  static final int LINES_PER_SECOND = 300;
  static final int QUEUE_CAPACITY = 2000;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final PrintStream out;
  private final LongSupplier nanos;
  private long currentSecond;
  private int linesInSecond;
  private long dropped;

  BoundedLogHandler(PrintStream out, LongSupplier nanos) {
    this.out = out;
    this.nanos = nanos;
    this.currentSecond = nanos.getAsLong() / NANOS_PER_SECOND;
    setFormatter(new KeyValueFormatter());
  }

  /** Starts the writer thread, a daemon thread that runs until the process exits. */
  BoundedLogHandler start() {
    Thread writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
    return this;
  }

  @Override
  public void publish(LogRecord event) {
    if (isLoggable(event) && admit(event)) {
      enqueue(getFormatter().format(event));
    }
  }

  /** Counts a line and returns whether it is within the rate limit. Severe lines are exempt. */
  private synchronized boolean admit(LogRecord event) {
    long now = nanos.getAsLong() / NANOS_PER_SECOND;
    if (now != currentSecond) {
      currentSecond = now;
      linesInSecond = 0;
      reportDropped();
    }
    linesInSecond++;
    boolean admitted =
        linesInSecond <= LINES_PER_SECOND
            || event.getLevel().intValue() >= java.util.logging.Level.SEVERE.intValue();
    dropped += admitted ? 0 : 1;
    return admitted;
  }

  private void reportDropped() {
    if (dropped > 0) {
      long count = dropped;
      dropped = 0;
      enqueue("event=log_left_out lines=" + count + System.lineSeparator());
    }
  }

  private synchronized void enqueue(String line) {
    dropped += lines.offer(line) ? 0 : 1;
  }

  private void write() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        out.print(lines.take());
        drain();
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
