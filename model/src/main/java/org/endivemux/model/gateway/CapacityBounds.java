package org.endivemux.model.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import org.endivemux.model.FailureDomain;

/**
 * Holds how many backend servers of a service may be ordered in each failure domain, and their
 * prices.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bootSeconds time from an order until the new backend server serves requests
 * @param spotPrice price of a spot (preemptible) server, as a fraction of the price of a steady one
 * @param prices price of a steady server in each failure domain
 */
public record CapacityBounds(
    int min,
    int max,
    double bootSeconds,
    @JsonProperty("cheapPrice") double spotPrice,
    Map<FailureDomain, Double> prices) {

  public CapacityBounds {
    prices = Map.copyOf(prices);
  }
}
