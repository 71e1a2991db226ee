package org.endivemux.control.voter;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Holds the clocks of a process. Immutable and thread-safe.
 *
 * @param monotonicNanos never goes back; only differences of its values have a meaning
 * @param wallMillis Unix time in milliseconds
 */
public record Clocks(LongSupplier monotonicNanos, LongSupplier wallMillis) {
  /** Returns the clocks of this machine. */
  public static Clocks system() {
    return new Clocks(System::nanoTime, java.time.Clock.systemUTC()::millis);
  }

  /** Returns the monotonic time in nanoseconds. */
  public long nanos() {
    return monotonicNanos.getAsLong();
  }

  /** Returns the wall clock's time in milliseconds. */
  public long millis() {
    return wallMillis.getAsLong();
  }

  /** Returns a new guard that compares both clocks. */
  public SuspensionGuard guard() {
    long nanosPerMilli = Duration.ofMillis(1).toNanos();
    return new SuspensionGuard(monotonicNanos, () -> wallMillis.getAsLong() * nanosPerMilli);
  }
}
