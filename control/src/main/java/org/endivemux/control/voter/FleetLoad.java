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
 * Sums what entries say of their requests, for each service and for each backend server.
 *
 * <p>Soft state: an entry that fell silent is left out after {@value #FORGOTTEN_NANOS} nanoseconds.
 * The sums are kept as running state, so that a poll costs the same with few entries and with many.
 * Thread-safe.
 */
public final class FleetLoad {
  private static final long FORGOTTEN_NANOS = 2_000_000_000L;

  private final Map<VmId, Said> loads = new HashMap<>();
  private final TreeMap<Integer, InFlightAt> total = new TreeMap<>();

  synchronized void add(VmId vm, List<ServiceLoad> said, List<InFlightAt> inFlight, long now) {
    forget(vm);
    loads.entrySet().stream()
        .filter(entry -> now - entry.getValue().at() >= FORGOTTEN_NANOS)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::forget);
    loads.put(vm, new Said(said, inFlight, now));
    inFlight.forEach(at -> add(at, 1));
  }

  private void forget(VmId vm) {
    Said before = loads.remove(vm);
    if (before != null) {
      before.inFlight().forEach(at -> add(at, -1));
    }
  }

  private void add(InFlightAt part, int sign) {
    total.merge(
        part.server(),
        new InFlightAt(part.server(), sign * part.requests(), sign * part.pendingPrefillTokens()),
        (known, more) -> {
          InFlightAt sum = added(known, more);
          return sum.requests() == 0 ? null : sum;
        });
  }

  private static InFlightAt added(InFlightAt one, InFlightAt other) {
    return new InFlightAt(
        one.server(),
        one.requests() + other.requests(),
        one.pendingPrefillTokens() + other.pendingPrefillTokens());
  }

  /** Returns the requests of all entries for a service. */
  public synchronized int requests(ServiceName service, long now) {
    return loads.values().stream()
        .filter(said -> now - said.at() < FORGOTTEN_NANOS)
        .flatMap(said -> said.loads().stream())
        .filter(load -> load.service().equals(service))
        .mapToInt(ServiceLoad::requests)
        .sum();
  }

  /**
   * Returns what all entries but one have in flight, or nothing while there are so few entries that
   * they tell each other.
   */
  synchronized Optional<List<InFlightAt>> ofOthers(VmId vm) {
    if (loads.size() <= Cells.MAX_SIZE) {
      return Optional.empty();
    }
    Map<Integer, InFlightAt> own =
        loads.containsKey(vm)
            ? loads.get(vm).inFlight().stream()
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
            sum.pendingPrefillTokens() - own.pendingPrefillTokens());
  }

  private record Said(List<ServiceLoad> loads, List<InFlightAt> inFlight, long at) {}
}
