package org.endivemux.control.voter;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Notices that the machine was suspended while its monotonic clock stood still.
 *
 * <p>Each check compares how far the wall clock and the monotonic clock ran since the check before;
 * frequent checks make slow slewing of the wall clock harmless. Thread-safe.
 */
public final class SuspensionGuard {
  /** How far the wall clock may run ahead between two checks. */
  private static final long BOUND_NANOS = Duration.ofMillis(100).toNanos();

  private final LongSupplier monotonicNanos;
  private final LongSupplier wallNanos;
  private long lead;

  public SuspensionGuard(LongSupplier monotonicNanos, LongSupplier wallNanos) {
    this.monotonicNanos = monotonicNanos;
    this.wallNanos = wallNanos;
    this.lead = lead();
  }

  private long lead() {
    return wallNanos.getAsLong() - monotonicNanos.getAsLong();
  }

  /** Returns whether the wall clock ran ahead since the last check; leases are then void. */
  public synchronized boolean ranAhead() {
    long before = lead;
    lead = lead();
    return lead - before > BOUND_NANOS;
  }
}
