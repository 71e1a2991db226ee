package org.endivemux.control.voter;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Detects that the machine was suspended while its monotonic clock stood still.
 *
 * <p>Each check compares how far the wall clock and the monotonic clock advanced since the previous
 * check; with frequent checks, slow slewing of the wall clock has no effect. Thread-safe.
 */
public final class SuspensionGuard {
  /** How far the wall clock may run ahead between two checks. */
  private static final long MAX_ADVANCE_NANOS = Duration.ofMillis(100).toNanos();

  private final LongSupplier monotonicNanos;
  private final LongSupplier wallNanos;
  private long offset;

  public SuspensionGuard(LongSupplier monotonicNanos, LongSupplier wallNanos) {
    this.monotonicNanos = monotonicNanos;
    this.wallNanos = wallNanos;
    this.offset = offset();
  }

  private long offset() {
    return wallNanos.getAsLong() - monotonicNanos.getAsLong();
  }

  /** Returns whether the wall clock ran ahead since the last check; if so, leases are void. */
  public synchronized boolean ranAhead() {
    long before = offset;
    offset = offset();
    return offset - before > MAX_ADVANCE_NANOS;
  }
}
