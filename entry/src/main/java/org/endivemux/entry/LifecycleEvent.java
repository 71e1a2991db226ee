package org.endivemux.entry;

/** Lists the events of {@code lifecycle.yaml}. Immutable and thread-safe. */
enum LifecycleEvent {
  STOP_ASKED,
  ANSWERS_EXPIRED,
  IDLE
}
