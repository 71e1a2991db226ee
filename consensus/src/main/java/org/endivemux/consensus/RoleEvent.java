package org.endivemux.consensus;

/** Names the events of {@code member.yaml}. Immutable and thread-safe. */
public enum RoleEvent {
  FORMED,
  LEADER_HEARD,
  HIGHER_TERM,
  ELECTION_TIMEOUT,
  PRE_VOTES_WON,
  VOTES_WON,
  QUORUM_LOST,
  PROMOTED,
  DEMOTED
}
