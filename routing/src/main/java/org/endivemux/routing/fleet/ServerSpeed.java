package org.endivemux.routing.fleet;

import java.util.Optional;
import java.util.OptionalDouble;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.gateway.ServerReport;

/**
 * Estimates how fast one backend server works, as a multiple of the usual speed of its service.
 *
 * <p>The static speed is the mean over the samples of all entries, each freed of the slowdown that
 * the server reported at the time. The present speed combines it with the latest reported slowdown,
 * which falls back to the server's mean with its age. Invariants: the speed is exactly 1 until the
 * server reports a slowdown or other entries know its speed; few samples change it little. Confined
 * to the scheduler's thread.
 */
final class ServerSpeed {
  /**
   * Half-life of a reported slowdown. Slowdowns last some 600 ms and leave an engine at its usual
   * speed for some 3.4 s between them, so their correlation halves within 350 ms.
   */
  private static final double SLOWDOWN_HALF_LIFE_NANOS = 350e6;

  /** Own samples count at most this often, so that a changed speed is followed. */
  private static final int MAX_OWN_SAMPLES = 16;

  /** Samples at usual speed that every estimate starts with. */
  private static final int PRIOR_SAMPLES = 4;

  /** A sample beyond this factor is taken as this factor: the request waited for something else. */
  private static final double MAX_SAMPLE_FACTOR = 4;

  private static final double MIN_SPEED = 0.25;
  private static final double MAX_SPEED = 4;
  private static final double USUAL_PERCENT = 100;
  private static final double SPEED_SCALE = 100;

  /**
   * A sum with less than this part of the known samples replaces it only after {@link
   * #SUM_EXPIRY_NANOS}: a new leader has not heard of all entries yet.
   */
  private static final double MIN_SUM_SHARE = 0.5;

  private static final long SUM_EXPIRY_NANOS = 10_000_000_000L;

  private double samples;
  private double speedSum;
  private double workSum;
  private Optional<SpeedAt> fleetSum = Optional.empty();
  private long fleetSumAt;
  private OptionalDouble latestPercent = OptionalDouble.empty();
  private long reportedAt;

  /** Records the server's own report; one without a slowdown is ignored. */
  void reported(ServerReport report, long now) {
    report
        .workPercent()
        .ifPresent(
            percent -> {
              latestPercent = OptionalDouble.of(percent);
              reportedAt = now;
            });
  }

  /** Returns whether the server has reported a slowdown to this entry. */
  boolean isReported() {
    return latestPercent.isPresent();
  }

  /**
   * Adds a sample that ended now; ignored for a server that reports no slowdown.
   *
   * @param logRatio natural logarithm of the measured speed, where usual speed is 1
   */
  void observe(double logRatio, long now) {
    if (!isReported()) {
      return;
    }
    double percent = percentAt(now);
    double max = Math.log(MAX_SAMPLE_FACTOR);
    double keep = samples < MAX_OWN_SAMPLES ? 1 : (MAX_OWN_SAMPLES - 1.0) / MAX_OWN_SAMPLES;
    double freed = logRatio + Math.log(percent / USUAL_PERCENT);
    samples = samples * keep + 1;
    speedSum = speedSum * keep + Math.max(-max, Math.min(max, freed)) * SPEED_SCALE;
    workSum = workSum * keep + percent;
  }

  /** Returns the own samples in the form in which entries share them. */
  SpeedAt shared(int tag) {
    return new SpeedAt(tag, (int) Math.round(samples), Math.round(speedSum), Math.round(workSum));
  }

  /** Replaces the sums of all entries, own samples included. */
  void updateFleetSum(SpeedAt sum, long now) {
    boolean isPartial =
        fleetSum.filter(known -> sum.samples() < known.samples() * MIN_SUM_SHARE).isPresent();
    if (!isPartial || now - fleetSumAt > SUM_EXPIRY_NANOS) {
      fleetSum = Optional.of(sum);
      fleetSumAt = now;
    }
  }

  /** Returns the speed over a long time, slowdowns included. */
  double usual() {
    return freedSpeed() * USUAL_PERCENT / meanPercent();
  }

  /** Returns the speed expected now. */
  double now(long now) {
    return freedSpeed() * USUAL_PERCENT / percentAt(now);
  }

  private double freedSpeed() {
    boolean fleetKnowsMore = fleetKnowsMore();
    double sum = fleetKnowsMore ? fleetSum.orElseThrow().speedSum() : speedSum;
    double count = fleetKnowsMore ? fleetSum.orElseThrow().samples() : samples;
    double speed = Math.exp(sum / SPEED_SCALE / (count + PRIOR_SAMPLES));
    return Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed));
  }

  private double meanPercent() {
    boolean fleetKnowsMore = fleetKnowsMore();
    double sum = fleetKnowsMore ? fleetSum.orElseThrow().workSum() : workSum;
    double count = fleetKnowsMore ? fleetSum.orElseThrow().samples() : samples;
    return (sum + PRIOR_SAMPLES * USUAL_PERCENT) / (count + PRIOR_SAMPLES);
  }

  private boolean fleetKnowsMore() {
    return fleetSum.filter(sum -> sum.samples() > samples).isPresent();
  }

  private double percentAt(long now) {
    double mean = meanPercent();
    if (!isReported()) {
      return mean;
    }
    double weight = Math.pow(0.5, (now - reportedAt) / SLOWDOWN_HALF_LIFE_NANOS);
    return mean + weight * (latestPercent.getAsDouble() - mean);
  }
}
