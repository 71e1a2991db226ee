package org.endivemux.consensus;

/**
 * Describes what a leader knows of another member. Immutable and thread-safe.
 *
 * @param hasAnswered whether the member has answered this leader at all
 * @param silentNanos time since the member answered, or since the election if it has not
 * @param caughtUp whether the member holds all committed entries
 */
record MemberContact(boolean hasAnswered, long silentNanos, boolean caughtUp) {
  /** Returns whether the member answers, so that a change that needs its vote can be committed. */
  boolean isAnswering(Timing timing) {
    return hasAnswered && silentNanos < timing.answerWindowNanos();
  }
}
