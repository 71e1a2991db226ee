package org.endivemux.entry;

import com.google.common.flogger.FluentLogger;
import org.endivemux.statechart.StateChart;

/** Holds the lifecycle state of an entry. Thread-safe. */
public final class Lifecycle {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final StateChart<LifecycleState, LifecycleEvent> CHART =
      StateChart.load("lifecycle.yaml", LifecycleState.class, LifecycleEvent.class);

  private LifecycleState state = CHART.initial();

  synchronized void fire(LifecycleEvent event) {
    LifecycleState before = state;
    state = CHART.require(state, event);
    if (state != before) {
      logger.atInfo().log("event=lifecycle from=%s to=%s", before, state);
    }
  }

  /** Returns the current state. */
  public synchronized LifecycleState state() {
    return state;
  }

  /** Returns whether the entry accepts requests; it still does while it is leaving. */
  synchronized boolean isOpen() {
    return state == LifecycleState.SERVING || state == LifecycleState.LEAVING;
  }

  /** Returns whether the list of entries that callers get may include this entry. */
  public synchronized boolean isAnnounced() {
    return state == LifecycleState.SERVING;
  }
}
