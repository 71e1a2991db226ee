package org.endivemux.control.voter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.routing.Cells;

/**
 * Sums the requests that entries report, for each service and for each backend server.
 *
 * <p>Soft state: a report is left out when it is {@value #REPORT_EXPIRY_NANOS} nanoseconds old. The
 * sums for backend servers are updated with each report instead of being computed for each poll, so
 * that a poll costs the same with few entries and with many. Thread-safe.
 */
public final class FleetLoad {
  private static final long REPORT_EXPIRY_NANOS = 2_000_000_000L;

  private final Map<VmId, Report> reports = new HashMap<>();
  private final FleetSpeeds speeds = new FleetSpeeds();
  private final TreeMap<Integer, InFlightAt> total = new TreeMap<>();

  synchronized void add(VmId vm, List<ServiceLoad> loads, List<InFlightAt> inFlight, long now) {
    removeReport(vm);
    reports.entrySet().stream()
        .filter(entry -> now - entry.getValue().at() >= REPORT_EXPIRY_NANOS)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::removeReport);
    reports.put(vm, new Report(loads, inFlight, now));
    inFlight.forEach(at -> add(at, 1));
  }

  /** Returns what entries have measured of the speed of backend servers. */
  FleetSpeeds speeds() {
    return speeds;
  }

  private void removeReport(VmId vm) {
    Report removed = reports.remove(vm);
    if (removed != null) {
      removed.inFlight().forEach(at -> add(at, -1));
    }
  }

  private void add(InFlightAt part, int sign) {
    total.merge(
        part.server(),
        new InFlightAt(
            part.server(),
            sign * part.requests(),
            sign * part.pendingPrefillTokens(),
            sign * part.heldTokens()),
        (known, more) -> {
          InFlightAt sum = added(known, more);
          return sum.requests() == 0 ? null : sum;
        });
  }

  private static InFlightAt added(InFlightAt one, InFlightAt other) {
    return new InFlightAt(
        one.server(),
        one.requests() + other.requests(),
        one.pendingPrefillTokens() + other.pendingPrefillTokens(),
        one.heldTokens() + other.heldTokens());
  }

  /** Returns the requests of all entries for a service. */
  public synchronized int requests(ServiceName service, long now) {
    return reports.values().stream()
        .filter(report -> now - report.at() < REPORT_EXPIRY_NANOS)
        .flatMap(report -> report.loads().stream())
        .filter(load -> load.service().equals(service))
        .mapToInt(ServiceLoad::requests)
        .sum();
  }

  /**
   * Returns what all entries except one have in flight, or nothing while there are so few entries
   * that they exchange their loads directly.
   */
  synchronized Optional<List<InFlightAt>> inFlightOfOthers(VmId vm) {
    if (reports.size() <= Cells.MAX_SIZE) {
      return Optional.empty();
    }
    Map<Integer, InFlightAt> own =
        reports.containsKey(vm)
            ? reports.get(vm).inFlight().stream()
                .collect(
                    Collectors.toMap(InFlightAt::server, Function.identity(), FleetLoad::added))
            : Map.of();
    return Optional.of(
        total.values().stream()
            .map(sum -> without(sum, own.get(sum.server())))
            .filter(rest -> rest.requests() > 0)
            .toList());
  }

  private static InFlightAt without(InFlightAt sum, InFlightAt own) {
    return own == null
        ? sum
        : new InFlightAt(
            sum.server(),
            sum.requests() - own.requests(),
            sum.pendingPrefillTokens() - own.pendingPrefillTokens(),
            sum.heldTokens() - own.heldTokens());
  }

  private record Report(List<ServiceLoad> loads, List<InFlightAt> inFlight, long at) {}
}
