package org.endivemux.control.state;

/** Names the states of {@code claim.yaml}. Immutable and thread-safe. */
public enum ClaimState {
  OPEN,
  UNKNOWN,
  DONE,
  RELEASED
}
