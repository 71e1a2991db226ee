package org.endivemux.control.state;

/** Events of {@code order.yaml}. Immutable and thread-safe. */
enum OrderEvent {
  ACCEPTED,
  REFUSED
}
