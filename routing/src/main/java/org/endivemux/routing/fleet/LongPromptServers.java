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
 * Dedicates half of the servers of each service, spread over its failure domains, to long prompts.
 *
 * <p>Invariant: entries that know the same list dedicate the same servers; the only server of a
 * domain is never dedicated. Immutable and thread-safe.
 */
final class LongPromptServers {
  private static final int HASH_MULTIPLIER = 0x9E3779B9;

  private final Set<BackendServerId> dedicated;

  LongPromptServers(Collection<GatewayServer> listed) {
    this.dedicated = new HashSet<>();
    listed.stream()
        .filter(server -> !server.leaving())
        .collect(Collectors.groupingBy(GatewayServer::service, TreeMap::new, Collectors.toList()))
        .values()
        .forEach(this::dedicateInEachDomain);
  }

  /** Rounds up in every other domain with an odd number, so that half of all are dedicated. */
  private void dedicateInEachDomain(List<GatewayServer> ofService) {
    int seenServers = 0;
    int dedicatedServers = 0;
    TreeMap<FailureDomain, List<GatewayServer>> domains =
        ofService.stream()
            .collect(
                Collectors.groupingBy(
                    GatewayServer::failureDomain, TreeMap::new, Collectors.toList()));
    for (List<GatewayServer> domain : domains.values()) {
      seenServers += domain.size();
      int count = Math.min(domain.size() - 1, seenServers / 2 - dedicatedServers);
      dedicate(domain, count);
      dedicatedServers += count;
    }
  }

  private void dedicate(List<GatewayServer> domain, int count) {
    domain.stream()
        .sorted(
            Comparator.comparingInt((GatewayServer server) -> hash(server))
                .thenComparing(GatewayServer::id))
        .limit(count)
        .forEach(server -> dedicated.add(server.id()));
  }

  private static int hash(GatewayServer server) {
    int mixed = server.id().value().hashCode() * HASH_MULTIPLIER;
    return mixed ^ (mixed >>> 15);
  }

  boolean contains(GatewayServer server) {
    return dedicated.contains(server.id());
  }
}
