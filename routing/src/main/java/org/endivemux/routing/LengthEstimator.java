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
 * <p>Keeps one decaying histogram with buckets of powers of two for each pair; a pair with few
 * answers falls back on its class. Confined to the scheduler's thread.
 */
final class LengthEstimator {
  private static final int BUCKETS = 20;
  private static final double DECAY = 0.995;
  private static final double ENOUGH = 20;
  private static final double UNKNOWN_TOKENS = 64;

  private final Map<Account, double[]> byAccount = new HashMap<>();
  private final Map<ClassName, double[]> byClass = new HashMap<>();

  void saw(ClassName requestClass, OrganisationId organisation, int tokens) {
    Account account = new Account(requestClass, organisation);
    add(byAccount.computeIfAbsent(account, none -> new double[BUCKETS]), tokens);
    add(byClass.computeIfAbsent(requestClass, none -> new double[BUCKETS]), tokens);
  }

  private static void add(double[] histogram, int tokens) {
    int bucket = Math.min(BUCKETS - 1, Integer.SIZE - Integer.numberOfLeadingZeros(tokens));
    IntStream.range(0, BUCKETS).forEach(i -> histogram[i] *= DECAY);
    histogram[bucket]++;
  }

  /** Returns the tokens that a part of all answers does not exceed. */
  double quantile(ClassName requestClass, OrganisationId organisation, double part) {
    double[] own = byAccount.get(new Account(requestClass, organisation));
    return Optional.ofNullable(own)
        .filter(histogram -> weight(histogram) >= ENOUGH)
        .or(() -> Optional.ofNullable(byClass.get(requestClass)))
        .map(histogram -> quantile(histogram, part))
        .orElse(UNKNOWN_TOKENS);
  }

  private static double weight(double[] histogram) {
    return IntStream.range(0, BUCKETS).mapToDouble(i -> histogram[i]).sum();
  }

  private static double quantile(double[] histogram, double part) {
    double wanted = weight(histogram) * part;
    double sum = 0;
    int bucket = 0;
    while (bucket < BUCKETS - 1 && sum + histogram[bucket] < wanted) {
      sum += histogram[bucket];
      bucket++;
    }
    return Math.scalb(0.75, bucket);
  }

  private record Account(ClassName requestClass, OrganisationId organisation) {}
}
