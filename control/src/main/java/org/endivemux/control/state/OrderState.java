package org.endivemux.control.state;

/** States of {@code order.yaml}. Immutable and thread-safe. */
public enum OrderState {
  INTENDED,
  FULFILLED,
  REJECTED
}
