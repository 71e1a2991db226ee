package org.endivemux.consensus;

/** Names the states of {@code member.yaml}. Immutable and thread-safe. */
public enum Role {
  /** Has no membership yet. */
  UNFORMED,
  /** Receives the log but has no vote. */
  LEARNER,
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
