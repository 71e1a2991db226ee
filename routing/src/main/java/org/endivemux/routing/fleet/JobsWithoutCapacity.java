package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Remembers the smallest jobs that found no room in one pass over a queue, so that no time is spent
 * on jobs behind them that are at least as large and no more urgent.
 *
 * <p>Invariant: a job that not every server may run says nothing about others. Used for one pass,
 * by the scheduler's thread.
 */
final class JobsWithoutCapacity {
  private final List<FleetJob> smallest = new ArrayList<>();

  /** Returns whether a job can't have room; jobs must be asked for in the order of urgency. */
  boolean covers(FleetJob job) {
    return smallest.stream().anyMatch(known -> known.prompt().tokens() <= job.prompt().tokens());
  }

  void add(FleetJob job) {
    if (job.avoid().isEmpty() && job.version().isEmpty() && !covers(job)) {
      smallest.add(job);
    }
  }
}
