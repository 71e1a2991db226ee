package org.endivemux.model.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import org.endivemux.model.FailureDomain;

/**
 * Holds how many backend servers of a service may be ordered in each failure domain, and their
 * price.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bootSeconds time from an order until a new backend server serves
 * @param spotPrice price of a spot (preemptible) server, as a fraction of the price of a steady one
 * @param prices price of a steady server in each failure domain
 */
public record CapacityBounds(
    int min, int max, double bootSeconds, @JsonProperty("cheapPrice") double spotPrice, Map<FailureDomain, Double> prices) {

  public CapacityBounds {
    prices = Map.copyOf(prices);
  }
}
