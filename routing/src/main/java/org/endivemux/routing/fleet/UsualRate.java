package org.endivemux.routing.fleet;

/**
 * Follows the median of a rate over all servers of a service, as the measure for single servers.
 *
 * <p>Invariant: a single sample moves it by at most {@value #STEP} in its logarithm. Confined to
 * the scheduler's thread.
 */
final class UsualRate {
  private static final double STEP = 0.03;

  private double logRate = Double.NaN;

  /** Adds a sample; returns the logarithm of its ratio to the usual rate before it. */
  double observe(double rate) {
    double sample = Math.log(rate);
    if (Double.isNaN(logRate)) {
      logRate = sample;
    }
    double ratio = sample - logRate;
    logRate += Math.max(-STEP, Math.min(STEP, ratio));
    return ratio;
  }
}
