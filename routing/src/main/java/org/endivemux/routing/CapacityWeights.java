package org.endivemux.routing;

import java.util.Collection;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.endivemux.model.EntryCapacity;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;

/**
 * Weighs entries by what their VMs can carry, relative to the mean of a fleet.
 *
 * <p>An entry can carry no more than the scarcer of its processor and its link allows. Every entry
 * of the fleet must state its capacity. Immutable and thread-safe.
 */
final class CapacityWeights {
  private final double meanCores;
  private final double meanLinkMbps;
  private final Map<FailureDomain, Double> domains;

  CapacityWeights(Collection<EntryInfo> fleet) {
    this.meanCores = mean(fleet, EntryCapacity::cores);
    this.meanLinkMbps = mean(fleet, EntryCapacity::linkMbps);
    this.domains =
        fleet.stream()
            .collect(
                Collectors.groupingBy(
                    EntryInfo::failureDomain, Collectors.summingDouble(this::of)));
  }

  private static double mean(Collection<EntryInfo> fleet, ToDoubleFunction<EntryCapacity> figure) {
    return fleet.stream()
        .mapToDouble(entry -> figure.applyAsDouble(entry.capacity().orElseThrow()))
        .average()
        .orElse(1);
  }

  /** Returns an entry's weight; 1 is that of the mean entry. */
  double of(EntryInfo entry) {
    EntryCapacity capacity = entry.capacity().orElseThrow();
    return Math.min(capacity.cores() / meanCores, capacity.linkMbps() / meanLinkMbps);
  }

  /** Returns the capacity of a domain relative to the mean domain; 0 if it has no entry. */
  double ofDomain(FailureDomain domain) {
    double mean = domains.values().stream().mapToDouble(Double::doubleValue).average().orElse(1);
    return domains.getOrDefault(domain, 0.0) / mean;
  }
}
