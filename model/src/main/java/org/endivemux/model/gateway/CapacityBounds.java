package org.endivemux.model.gateway;

import java.util.Map;
import org.endivemux.model.FailureDomain;

/**
 * Holds how many backend servers of a service may be ordered in each failure domain, and their
 * price.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bootSeconds time from an order until a new backend server serves
 * @param cheapPrice price of one that may be reclaimed, as a part of the steady price
 * @param prices price of a steady one for each failure domain
 */
public record CapacityBounds(
    int min, int max, double bootSeconds, double cheapPrice, Map<FailureDomain, Double> prices) {

  public CapacityBounds {
    prices = Map.copyOf(prices);
  }
}
