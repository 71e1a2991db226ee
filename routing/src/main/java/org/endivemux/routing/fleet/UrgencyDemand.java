package org.endivemux.routing.fleet;

import java.util.TreeMap;

/**
 * Counts the jobs of each urgency that were offered and started at one entry recently.
 *
 * <p>Invariant: a job's weight halves every {@value #HALF_LIFE_SECONDS} seconds, so that the counts
 * follow a burst within the time limit of most routes. Confined to the scheduler's thread.
 */
final class UrgencyDemand {
  private static final double HALF_LIFE_SECONDS = 2;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Offered jobs per second for each counted offered job, in a steady state. */
  private static final double RATE_PER_WEIGHT = Math.log(2) / HALF_LIFE_SECONDS;

  /** Share of started jobs, relative to that of all urgencies, below which one is starved. */
  private static final double FLOOR_OF_SERVED_SHARE = 0.25;

  private final TreeMap<Integer, Counts> byUrgency = new TreeMap<>();
  private long decayedAt = Long.MIN_VALUE;

  void offered(int urgency, long now) {
    decay(now);
    byUrgency.computeIfAbsent(urgency, none -> new Counts()).offered++;
  }

  void started(int urgency) {
    byUrgency.computeIfAbsent(urgency, none -> new Counts()).started++;
  }

  /** Returns the jobs per second that are more urgent than this and were offered here. */
  double moreUrgentPerSecond(int urgency, long now) {
    decay(now);
    return byUrgency.headMap(urgency).values().stream().mapToDouble(c -> c.offered).sum()
        * RATE_PER_WEIGHT;
  }

  /** Returns whether jobs of this urgency are started so rarely that they need a slot next. */
  boolean isBelowFloor(int urgency) {
    Counts own = byUrgency.getOrDefault(urgency, new Counts());
    double offered = byUrgency.values().stream().mapToDouble(c -> c.offered).sum();
    double started = byUrgency.values().stream().mapToDouble(c -> c.started).sum();
    return own.started * offered < own.offered * started * FLOOR_OF_SERVED_SHARE;
  }

  private void decay(long now) {
    if (decayedAt == Long.MIN_VALUE) {
      decayedAt = now;
    }
    double seconds = Math.max(0, now - decayedAt) / NANOS_PER_SECOND;
    double factor = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    byUrgency.values().forEach(counts -> counts.scale(factor));
    decayedAt = Math.max(decayedAt, now);
  }

  private static final class Counts {
    private double offered;
    private double started;

    void scale(double factor) {
      offered *= factor;
      started *= factor;
    }
  }
}
