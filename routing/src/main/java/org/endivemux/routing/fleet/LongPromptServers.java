package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Sets servers apart for long prompts: half of those of a service, spread over its failure domains.
 *
 * <p>Invariant: entries that know the same list set the same servers apart; where a domain has only
 * one, it is not set apart. Immutable and thread-safe.
 */
final class LongPromptServers {
  private static final int SPREAD = 0x9E3779B9;

  private final Set<BackendServerId> apart;

  LongPromptServers(Collection<GatewayServer> listed) {
    this.apart = new HashSet<>();
    listed.stream()
        .filter(server -> !server.leaving())
        .collect(Collectors.groupingBy(GatewayServer::service, TreeMap::new, Collectors.toList()))
        .values()
        .forEach(this::setApartInEachDomain);
  }

  /** Rounds up in every other domain with an odd number, so that half of all are set apart. */
  private void setApartInEachDomain(List<GatewayServer> ofService) {
    int seen = 0;
    int taken = 0;
    TreeMap<FailureDomain, List<GatewayServer>> domains =
        ofService.stream()
            .collect(
                Collectors.groupingBy(
                    GatewayServer::failureDomain, TreeMap::new, Collectors.toList()));
    for (List<GatewayServer> domain : domains.values()) {
      seen += domain.size();
      int count = Math.min(domain.size() - 1, seen / 2 - taken);
      setApart(domain, count);
      taken += count;
    }
  }

  private void setApart(List<GatewayServer> domain, int count) {
    domain.stream()
        .sorted(
            Comparator.comparingInt((GatewayServer server) -> place(server))
                .thenComparing(GatewayServer::id))
        .limit(count)
        .forEach(server -> apart.add(server.id()));
  }

  private static int place(GatewayServer server) {
    int mixed = server.id().value().hashCode() * SPREAD;
    return mixed ^ (mixed >>> 15);
  }

  boolean contains(GatewayServer server) {
    return apart.contains(server.id());
  }
}
