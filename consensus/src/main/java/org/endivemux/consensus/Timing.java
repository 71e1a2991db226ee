package org.endivemux.consensus;

import java.time.Duration;

/**
 * Holds the time limits of elections and leases.
 *
 * <p>Invariant: a lease is shorter than the shortest election timeout by the drift bound, so it
 * expires before any voter that replied may vote for another member. Immutable and thread-safe.
 *
 * @param electionNanos shortest election timeout
 * @param heartbeatNanos time between heartbeats
 * @param driftPerMille maximum difference between the rates of two clocks, in thousandths
 */
public record Timing(long electionNanos, long heartbeatNanos, int driftPerMille) {
  private static final int PER_MILLE = 1000;
  private static final int DEFAULT_DRIFT_PER_MILLE = 50;
  private static final int ANSWER_WINDOW_HEARTBEATS = 5;

  /** Returns the limits for links with a latency of a few milliseconds. */
  public static Timing standard() {
    return new Timing(
        Duration.ofMillis(700).toNanos(),
        Duration.ofMillis(100).toNanos(),
        DEFAULT_DRIFT_PER_MILLE);
  }

  long leaseNanos() {
    return electionNanos * (PER_MILLE - driftPerMille) / PER_MILLE;
  }

  /** Returns how long a voter refuses to vote after it starts or hears from a leader. */
  long voteRefusalNanos() {
    return electionNanos;
  }

  /** Returns a pseudo-random timeout of one to two times the shortest one, from a seed. */
  long electionTimeout(long seed) {
    long mixed = seed * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return electionNanos + Math.floorMod(mixed ^ (mixed >>> 32), electionNanos);
  }

  /** Returns for how long a member counts as answering after its last answer to the leader. */
  long answerWindowNanos() {
    return ANSWER_WINDOW_HEARTBEATS * heartbeatNanos;
  }

  /**
   * Returns for how long a voter has to be silent before a new member may replace it. Short, since
   * a voter that was only slow joins again, while one that is lost and not replaced weighs on the
   * quorum.
   */
  long replacementSilenceNanos() {
    return 2 * electionNanos;
  }

  /** Returns how long a member hears from no leader before it asks whether it was removed. */
  long rejoinSilenceNanos() {
    return 2 * electionNanos;
  }

  /** Returns how long a leader stays leader without replies from a quorum. */
  long checkQuorumNanos() {
    return 2 * electionNanos;
  }
}
