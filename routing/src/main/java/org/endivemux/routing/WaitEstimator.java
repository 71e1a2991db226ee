package org.endivemux.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a job at a given position in a queue waits, from the time between starts while
 * jobs wait in that queue.
 *
 * <p>Confined to the scheduler's thread.
 */
final class WaitEstimator {
  private static final double SAMPLE_WEIGHT = 0.05;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double MAX_GAP_NANOS = 10e9;

  private final Map<String, Gap> gaps = new HashMap<>();

  /** Records a start; the time until the next one counts only while other jobs wait. */
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
      double elapsed = Math.min(MAX_GAP_NANOS, (double) (now - lastAt));
      double average =
          othersWait ? averageNanos + SAMPLE_WEIGHT * (elapsed - averageNanos) : averageNanos;
      return new Gap(now, average, stillWait);
    }
  }
}
