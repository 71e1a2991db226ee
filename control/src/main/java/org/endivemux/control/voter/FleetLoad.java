package org.endivemux.control.voter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.ServiceName;

/**
 * Sums what entries say of the requests that they have for each service.
 *
 * <p>Soft state: an entry that fell silent is left out after {@value #FORGOTTEN_NANOS} nanoseconds.
 * Thread-safe.
 */
public final class FleetLoad {
  private static final long FORGOTTEN_NANOS = 2_000_000_000L;

  private final Map<VmId, Said> loads = new HashMap<>();

  synchronized void add(VmId vm, List<ServiceLoad> said, long now) {
    loads.put(vm, new Said(said, now));
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

  private record Said(List<ServiceLoad> loads, long at) {}
}
