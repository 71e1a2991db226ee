package org.endivemux.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a queue takes to come to a place in it, from how often it is served while jobs
 * wait in it.
 *
 * <p>Confined to the scheduler's thread.
 */
final class WaitEstimator {
  private static final double WEIGHT = 0.05;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double LONGEST_GAP_NANOS = 10e9;

  private final Map<String, Gap> gaps = new HashMap<>();

  /** Notes a start; the time until the next one counts only while others wait. */
  void started(String queue, boolean othersWait, long now) {
    gaps.merge(queue, new Gap(now, 0, othersWait), (before, fresh) -> before.next(now, othersWait));
  }

  /** Returns the expected wait in milliseconds behind {@code ahead} jobs. */
  long expectedMillis(String queue, int ahead) {
    Gap gap = gaps.get(queue);
    return gap == null ? 0 : (long) (gap.averageNanos() * ahead / NANOS_PER_MILLI);
  }

  private record Gap(long lastAt, double averageNanos, boolean othersWait) {
    Gap next(long now, boolean stillWait) {
      double seen = Math.min(LONGEST_GAP_NANOS, (double) (now - lastAt));
      double average = othersWait ? averageNanos + WEIGHT * (seen - averageNanos) : averageNanos;
      return new Gap(now, average, stillWait);
    }
  }
}
