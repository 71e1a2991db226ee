package org.endivemux.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.endivemux.model.ClassName;
import org.endivemux.model.OrganisationId;

/**
 * Estimates output lengths by class and organisation as quantiles.
 *
 * <p>Keeps one decaying histogram with power-of-two buckets for each pair; a pair with few answers
 * falls back to its class. Confined to the scheduler's thread.
 */
final class LengthEstimator {
  private static final int BUCKETS = 20;
  private static final double DECAY = 0.995;
  private static final double MIN_WEIGHT = 20;
  private static final double DEFAULT_TOKENS = 64;

  private final Map<Key, double[]> byKey = new HashMap<>();
  private final Map<ClassName, double[]> byClass = new HashMap<>();

  void recordLength(ClassName requestClass, OrganisationId organisation, int tokens) {
    Key key = new Key(requestClass, organisation);
    add(byKey.computeIfAbsent(key, none -> new double[BUCKETS]), tokens);
    add(byClass.computeIfAbsent(requestClass, none -> new double[BUCKETS]), tokens);
  }

  private static void add(double[] histogram, int tokens) {
    int bucket = Math.min(BUCKETS - 1, Integer.SIZE - Integer.numberOfLeadingZeros(tokens));
    IntStream.range(0, BUCKETS).forEach(i -> histogram[i] *= DECAY);
    histogram[bucket]++;
  }

  /** Returns the number of tokens that the given fraction of answers does not exceed. */
  double quantile(ClassName requestClass, OrganisationId organisation, double fraction) {
    double[] own = byKey.get(new Key(requestClass, organisation));
    return Optional.ofNullable(own)
        .filter(histogram -> weight(histogram) >= MIN_WEIGHT)
        .or(() -> Optional.ofNullable(byClass.get(requestClass)))
        .map(histogram -> quantile(histogram, fraction))
        .orElse(DEFAULT_TOKENS);
  }

  private static double weight(double[] histogram) {
    return IntStream.range(0, BUCKETS).mapToDouble(i -> histogram[i]).sum();
  }

  private static double quantile(double[] histogram, double fraction) {
    double target = weight(histogram) * fraction;
    double sum = 0;
    int bucket = 0;
    while (bucket < BUCKETS - 1 && sum + histogram[bucket] < target) {
      sum += histogram[bucket];
      bucket++;
    }
    return Math.scalb(0.75, bucket);
  }

  private record Key(ClassName requestClass, OrganisationId organisation) {}
}
