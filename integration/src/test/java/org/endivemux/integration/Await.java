package org.endivemux.integration;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits for conditions with a generous limit. Stateless and thread-safe. */
final class Await {
  private static final Duration LIMIT = Duration.ofSeconds(40);
  private static final long PAUSE_NANOS = Duration.ofMillis(20).toNanos();

  private Await() {}

  /** Returns once the condition holds; fails with the name of what was awaited. */
  static void until(String what, Callable<Boolean> condition) {
    until(what, LIMIT, condition);
  }

  static void until(String what, Duration limit, Callable<Boolean> condition) {
    long end = System.nanoTime() + limit.toNanos();
    while (!holds(condition)) {
      if (System.nanoTime() > end) {
        throw new AssertionError("Waited " + limit + " in vain: " + what);
      }
      LockSupport.parkNanos(PAUSE_NANOS);
    }
  }

  /** Returns how long it took until the condition held. */
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
