package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Sets servers apart for long prompts: half of those of a service in each failure domain.
 *
 * <p>Invariant: entries that know the same list set the same servers apart; where a domain has only
 * one, it is not set apart. Immutable and thread-safe.
 */
final class LongPromptServers {
  private static final int SPREAD = 0x9E3779B9;

  private final Set<BackendServerId> apart;

  LongPromptServers(Collection<GatewayServer> listed) {
    Map<Group, List<GatewayServer>> groups =
        listed.stream()
            .filter(server -> !server.leaving())
            .collect(
                Collectors.groupingBy(
                    server -> new Group(server.service().value(), server.failureDomain().value())));
    this.apart = new HashSet<>();
    groups.values().forEach(this::setApart);
  }

  private void setApart(List<GatewayServer> group) {
    group.stream()
        .sorted(
            Comparator.comparingInt((GatewayServer server) -> place(server))
                .thenComparing(GatewayServer::id))
        .limit(group.size() / 2)
        .forEach(server -> apart.add(server.id()));
  }

  private static int place(GatewayServer server) {
    int mixed = server.id().value().hashCode() * SPREAD;
    return mixed ^ (mixed >>> 15);
  }

  boolean contains(GatewayServer server) {
    return apart.contains(server.id());
  }

  private record Group(String service, String failureDomain) {}
}
