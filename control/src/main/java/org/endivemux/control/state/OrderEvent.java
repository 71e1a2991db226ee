package org.endivemux.control.state;

/** Names the events of {@code order.yaml}. Immutable and thread-safe. */
enum OrderEvent {
  ACCEPTED,
  REFUSED
}
