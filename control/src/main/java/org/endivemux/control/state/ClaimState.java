package org.endivemux.control.state;

/** States of {@code claim.yaml}. Immutable and thread-safe. */
public enum ClaimState {
  OPEN,
  UNKNOWN,
  DONE,
  RELEASED
}
