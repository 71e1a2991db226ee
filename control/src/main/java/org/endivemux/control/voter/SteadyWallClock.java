package org.endivemux.control.voter;

import java.time.Duration;

/**
 * Tells Unix time so that a step of the machine's wall clock does not move it at once.
 *
 * <p>It advances with the monotonic clock. Invariant: it follows the wall clock's small corrections
 * immediately and a larger difference only after that has lasted for {@link #CONFIRMATION_NANOS},
 * as it does when the machine was suspended or its clock was set right. Thread-safe.
 */
public final class SteadyWallClock {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A larger difference between two readings is a step and no correction of a drift. */
  private static final long MAX_CORRECTION_MILLIS = 100;

  private static final long CONFIRMATION_NANOS = Duration.ofMinutes(1).toNanos();

  private final Clocks clocks;
  private long offsetMillis;
  private long agreedAtNanos;

  public SteadyWallClock(Clocks clocks) {
    this.clocks = clocks;
    this.offsetMillis = wallOffset(clocks.nanos());
    this.agreedAtNanos = clocks.nanos();
  }

  /** Returns Unix time in milliseconds. */
  public synchronized long millis() {
    long now = clocks.nanos();
    long wall = wallOffset(now);
    boolean agrees = Math.abs(wall - offsetMillis) <= MAX_CORRECTION_MILLIS;
    if (agrees || now - agreedAtNanos > CONFIRMATION_NANOS) {
      offsetMillis = wall;
      agreedAtNanos = now;
    }
    return now / NANOS_PER_MILLI + offsetMillis;
  }

  private long wallOffset(long now) {
    return clocks.millis() - now / NANOS_PER_MILLI;
  }
}
