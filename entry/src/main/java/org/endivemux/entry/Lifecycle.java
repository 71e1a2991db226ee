package org.endivemux.entry;

import com.google.common.flogger.FluentLogger;
import org.endivemux.statechart.StateChart;

/** Keeps the state of one entry's life. Thread-safe. */
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

  /** Returns the present state. */
  public synchronized LifecycleState state() {
    return state;
  }

  /** Returns whether requests are taken; a leaving entry still takes them. */
  synchronized boolean isOpen() {
    return state == LifecycleState.SERVING || state == LifecycleState.LEAVING;
  }

  /** Returns whether callers are told of this entry. */
  public synchronized boolean isAnnounced() {
    return state == LifecycleState.SERVING;
  }
}
