package org.endivemux.integration;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Polls conditions with a generous timeout. Stateless and thread-safe. */
final class Await {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(40);
  private static final long POLL_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

  private Await() {}

  /**
   * Returns once the condition holds; throws an {@link AssertionError} that names it on timeout.
   */
  static void until(String what, Callable<Boolean> condition) {
    until(what, DEFAULT_TIMEOUT, condition);
  }

  static void until(String what, Duration timeout, Callable<Boolean> condition) {
    long end = System.nanoTime() + timeout.toNanos();
    while (!holds(condition)) {
      if (System.nanoTime() > end) {
        throw new AssertionError("Condition did not hold within " + timeout + ": " + what);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  /** Waits until the condition holds and returns the time that this took. */
  static Duration timed(String what, Callable<Boolean> condition) {
    long start = System.nanoTime();
    until(what, condition);
    return Duration.ofNanos(System.nanoTime() - start);
  }

  private static boolean holds(Callable<Boolean> condition) {
    try {
      return condition.call();
    } catch (Exception e) {
      return false;
    }
  }
}
