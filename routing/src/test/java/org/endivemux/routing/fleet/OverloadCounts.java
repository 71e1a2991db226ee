package org.endivemux.routing.fleet;

/**
 * Counts requests of one kind by how they ended; {@code large} ones are its largest tenth.
 *
 * <p>Confined to one thread.
 */
final class OverloadCounts {
  int offered;
  int onTime;
  int late;
  int refusedAtEntry;
  int expiredAtEngine;
  int preempted;
  int large;
  int largeServed;

  double onTimeShare() {
    return (double) onTime / Math.max(1, offered);
  }

  @Override
  public String toString() {
    return "offered=%d onTime=%d late=%d refused=%d expiredAtEngine=%d preempted=%d large=%d/%d"
        .formatted(
            offered, onTime, late, refusedAtEntry, expiredAtEngine, preempted, largeServed, large);
  }
}
