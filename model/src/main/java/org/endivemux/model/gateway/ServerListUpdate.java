package org.endivemux.model.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;

/**
 * Holds a complete list of backend servers or the difference between two lists.
 *
 * <p>Invariant: applied to the older list, it gives the newer list, sorted by id. Immutable and
 * thread-safe.
 *
 * @param whole whether {@code present} is the complete newer list, which replaces any older one
 * @param gone servers that were removed
 * @param present servers that were added or changed
 */
public record ServerListUpdate(
    boolean whole, List<BackendServerId> gone, List<GatewayServer> present) {
  public ServerListUpdate {
    gone = List.copyOf(gone);
    present = List.copyOf(present);
  }

  /** Returns an update that replaces any older list. */
  public static ServerListUpdate whole(List<GatewayServer> servers) {
    return new ServerListUpdate(true, List.of(), servers);
  }

  /** Returns the difference between two lists. */
  public static ServerListUpdate between(List<GatewayServer> older, List<GatewayServer> newer) {
    Map<BackendServerId, GatewayServer> before = byId(older);
    Map<BackendServerId, GatewayServer> after = byId(newer);
    return new ServerListUpdate(
        false,
        before.keySet().stream().filter(id -> !after.containsKey(id)).toList(),
        after.values().stream().filter(server -> !server.equals(before.get(server.id()))).toList());
  }

  /** Returns the newer list, given the older one. */
  public List<GatewayServer> applyTo(List<GatewayServer> known) {
    Map<BackendServerId, GatewayServer> servers = whole ? new HashMap<>() : byId(known);
    gone.forEach(servers::remove);
    present.forEach(server -> servers.put(server.id(), server));
    return servers.values().stream().sorted(Comparator.comparing(GatewayServer::id)).toList();
  }

  private static Map<BackendServerId, GatewayServer> byId(List<GatewayServer> servers) {
    return servers.stream()
        .collect(
            Collectors.toMap(
                GatewayServer::id, Function.identity(), (one, other) -> other, TreeMap::new));
  }
}
