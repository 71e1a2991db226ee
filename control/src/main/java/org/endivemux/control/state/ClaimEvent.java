package org.endivemux.control.state;

/** Names the events of {@code claim.yaml}. Immutable and thread-safe. */
enum ClaimEvent {
  GRANTED,
  FINISHED,
  RELEASED,
  ABANDONED
}
