package org.endivemux.consensus;

/**
 * Describes one change of the membership, as a leader proposes it. Immutable and thread-safe.
 *
 * @param member the member that is added, gets its vote or is removed
 * @param result the membership after the change
 */
public record MembershipChange(Cause cause, Member member, Membership result) {
  /** Says why the membership changes. */
  public enum Cause {
    /** A disk asked to join and becomes a learner. */
    JOINED,
    /** A learner has caught up and gets its vote. */
    CAUGHT_UP,
    /** A newer disk of the same VM takes the place of this one. */
    REPLACED_AT_ITS_VM,
    /** A voter did not answer the leader. */
    SILENT
  }
}
