package org.endivemux.consensus;

/** Names the states of {@code member.yaml}. Immutable and thread-safe. */
public enum Role {
  /** Has an empty disk and belongs to no quorum. */
  UNFORMED,
  /** Receives the log without a vote. */
  LEARNER,
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
