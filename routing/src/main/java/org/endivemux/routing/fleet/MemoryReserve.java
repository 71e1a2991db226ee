package org.endivemux.routing.fleet;

/**
 * Estimates how many tokens other entries have sent to an engine since their load was last known.
 *
 * <p>Confined to the scheduler's thread.
 */
final class MemoryReserve {
  /** An engine beyond its memory crashes, so more than two deviations are kept in reserve. */
  private static final double DEVIATIONS = 3;

  private static final double HALF_LIFE_SECONDS = 2;
  private static final double NANOS_PER_SECOND = 1e9;

  private double recentTokens;
  private double largest;
  private long decayedAt;

  /** Records a job that this entry has sent. */
  void started(FleetJob job, long now) {
    decay(now);
    double tokens = tokens(job);
    recentTokens += tokens;
    largest = Math.max(largest, tokens);
  }

  /** Returns the tokens that a job may come to hold in an engine's memory. */
  static long tokens(FleetJob job) {
    return (long) job.prompt().tokens() + job.prompt().maxAnswerTokens();
  }

  /**
   * Returns the tokens to keep free at one engine.
   *
   * @param others number of other entries
   * @param intervalNanos time for which their load is not known
   */
  double tokens(int others, int engines, long intervalNanos, long now) {
    decay(now);
    double perSecond = recentTokens * Math.log(2) / HALF_LIFE_SECONDS;
    double expected = perSecond * others / engines * (intervalNanos / NANOS_PER_SECOND);
    return expected + DEVIATIONS * Math.sqrt(expected * largest);
  }

  private void decay(long now) {
    double seconds = Math.max(0, now - decayedAt) / NANOS_PER_SECOND;
    recentTokens *= Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    decayedAt = Math.max(decayedAt, now);
  }
}
