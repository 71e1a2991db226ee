package org.endivemux.control.state;

/** Events of {@code claim.yaml}. Immutable and thread-safe. */
enum ClaimEvent {
  GRANTED,
  FINISHED,
  RELEASED,
  ABANDONED
}
