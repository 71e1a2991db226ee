package org.endivemux.model.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;

/**
 * Holds one reading of the platform's list of backend servers, to which others write, too.
 *
 * <p>Invariant: each id occurs once. Immutable and thread-safe.
 *
 * @param servers servers whose entries could be read, in their order; of several with one id the
 *     first counts
 * @param unreadable ids of further servers whose entries have no meaning
 */
public record ServerListing(List<GatewayServer> servers, Set<BackendServerId> unreadable) {
  public ServerListing {
    Map<BackendServerId, GatewayServer> byId = new LinkedHashMap<>();
    servers.forEach(server -> byId.putIfAbsent(server.id(), server));
    servers = List.copyOf(byId.values());
    unreadable =
        unreadable.stream()
            .filter(id -> !byId.containsKey(id))
            .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the servers; one whose entry could not be read stays as it is known. */
  public List<GatewayServer> completedFrom(List<GatewayServer> known) {
    return Stream.concat(
            servers.stream(), known.stream().filter(server -> unreadable.contains(server.id())))
        .toList();
  }
}
