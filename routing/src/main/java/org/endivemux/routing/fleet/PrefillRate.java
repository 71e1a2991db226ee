package org.endivemux.routing.fleet;

import java.util.OptionalDouble;

/**
 * Estimates how many prompt tokens an engine prefills in a millisecond, from first events.
 *
 * <p>Invariant: follows the median of the samples, so that single requests which waited long for
 * another reason do not matter. Confined to the scheduler's thread.
 */
final class PrefillRate {
  private static final double INITIAL_TOKENS_PER_MILLI = 125;
  private static final double MIN_TOKENS_PER_MILLI = 10;
  private static final double MAX_TOKENS_PER_MILLI = 1000;

  /** The estimate moves by this factor towards each sample, whatever its distance. */
  private static final double STEP = 1.02;

  /** The time to the first event of a shorter prompt says little about the prefill. */
  private static final int MIN_SAMPLE_TOKENS = 1000;

  private static final double NANOS_PER_MILLI = 1e6;

  private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;

  /**
   * Adds a sample; returns the natural logarithm of its ratio to the rate before it, or empty if
   * the sample says little about the rate.
   *
   * @param tokens tokens that the engine had to prefill until the request's first event
   * @param nanos time from sending the request to its first event
   */
  OptionalDouble observe(long tokens, long nanos) {
    if (tokens < MIN_SAMPLE_TOKENS || nanos <= 0) {
      return OptionalDouble.empty();
    }
    double sample = tokens * NANOS_PER_MILLI / nanos;
    double ratio = Math.log(sample / tokensPerMilli);
    double moved = sample > tokensPerMilli ? tokensPerMilli * STEP : tokensPerMilli / STEP;
    tokensPerMilli = Math.min(MAX_TOKENS_PER_MILLI, Math.max(MIN_TOKENS_PER_MILLI, moved));
    return OptionalDouble.of(ratio);
  }

  /** Returns how long an engine takes to prefill so many tokens. */
  long nanosFor(long tokens) {
    return (long) (tokens * NANOS_PER_MILLI / tokensPerMilli);
  }

  double tokensPerMilli() {
    return tokensPerMilli;
  }
}
