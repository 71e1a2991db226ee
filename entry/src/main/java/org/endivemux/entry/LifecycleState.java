package org.endivemux.entry;

/** Lists the states of {@code lifecycle.yaml}. Immutable and thread-safe. */
public enum LifecycleState {
  SERVING,
  LEAVING,
  DRAINING,
  STOPPED
}
