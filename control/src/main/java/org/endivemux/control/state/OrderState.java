package org.endivemux.control.state;

/** Names the states of {@code order.yaml}. Immutable and thread-safe. */
public enum OrderState {
  INTENDED,
  FULFILLED,
  REJECTED
}
