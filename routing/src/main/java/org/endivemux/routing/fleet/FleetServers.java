package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;

/**
 * Holds the load of each listed backend server, and which of them may get new requests.
 *
 * <p>Invariant: a server that is leaving or in an evacuated domain is listed but never open. Not
 * thread-safe.
 */
final class FleetServers {
  /** Peer name for the sum over all other entries. */
  private static final String ALL_OTHER_ENTRIES = "all others";

  private final ServerNotices notices;
  private final ServerDrains drains;
  private final Map<ServiceName, ServiceSpec> specs = new HashMap<>();
  private final Map<BackendServerId, ServerLoad> servers = new TreeMap<>();
  private Set<FailureDomain> evacuated = Set.of();

  /** Creates an empty list; servers that leave by {@code notices} are not open. */
  FleetServers(ServerNotices notices, ServerDrains drains) {
    this.notices = notices;
    this.drains = drains;
  }

  /** Replaces the declared services. */
  void updateServices(List<ServiceSpec> declared) {
    specs.clear();
    declared.forEach(spec -> specs.put(spec.name(), spec));
  }

  /** Replaces the list of servers; the load of a server that stays listed is kept. */
  void updateServers(List<GatewayServer> listed) {
    Map<BackendServerId, GatewayServer> byId = new HashMap<>();
    listed.forEach(server -> byId.put(server.id(), server));
    servers.keySet().retainAll(byId.keySet());
    byId.values()
        .forEach(
            server ->
                servers
                    .computeIfAbsent(
                        server.id(), id -> new ServerLoad(server, memoryTokens(server)))
                    .updateListing(server));
  }

  private long memoryTokens(GatewayServer server) {
    return Optional.ofNullable(specs.get(server.service()))
        .flatMap(ServiceSpec::engine)
        .map(engine -> engine.memoryTokens())
        .orElse(0L);
  }

  /** Replaces the evacuated domains. */
  void updateEvacuated(Set<FailureDomain> domains) {
    evacuated = Set.copyOf(domains);
  }

  /** Returns whether an evacuation leaves a service without an open server. */
  boolean isEvacuated(ServiceName service) {
    return !evacuated.isEmpty()
        && openServers(service).findAny().isEmpty()
        && servers.values().stream()
            .map(ServerLoad::server)
            .filter(server -> server.service().equals(service))
            .anyMatch(this::isEvacuated);
  }

  /** Returns the listed servers, those included that get no new requests. */
  Collection<ServerLoad> all() {
    return servers.values();
  }

  Optional<ServerLoad> find(BackendServerId id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** Returns the servers of a service that are neither leaving nor evacuated. */
  Stream<ServerLoad> openServers(ServiceName service) {
    return servers.values().stream()
        .filter(load -> load.server().service().equals(service) && !isLeaving(load.server()));
  }

  /** Returns the servers of a service that leave, but still serve and are not evacuated. */
  Stream<ServerLoad> drainingServers(ServiceName service, long now) {
    return servers.values().stream()
        .filter(load -> load.server().service().equals(service))
        .filter(load -> isDraining(load.server(), now));
  }

  /** Returns whether a server is listed as known, and neither leaving nor evacuated. */
  boolean isOpen(GatewayServer server) {
    return listedAs(server).filter(listed -> !isLeaving(listed)).isPresent();
  }

  /** Returns whether a server is listed as known, leaves, but still serves and is not evacuated. */
  boolean isDrainingAsKnown(GatewayServer server, long now) {
    return listedAs(server).filter(listed -> isDraining(listed, now)).isPresent();
  }

  private Optional<GatewayServer> listedAs(GatewayServer server) {
    return find(server.id())
        .map(ServerLoad::server)
        .filter(listed -> listed.address().equals(server.address()))
        .filter(listed -> listed.version().equals(server.version()));
  }

  private boolean isDraining(GatewayServer server, long now) {
    return !isEvacuated(server) && drains.isServing(server, now);
  }

  private boolean isLeaving(GatewayServer server) {
    return server.leaving() || isEvacuated(server) || notices.isLeaving(server.id());
  }

  private boolean isEvacuated(GatewayServer server) {
    return evacuated.contains(server.failureDomain());
  }

  /** Replaces what a peer has in flight; a server that it does not name has nothing from it. */
  void updatePeer(String peer, List<InFlightAt> inFlight, long now) {
    Map<Integer, InFlightAt> byTag =
        inFlight.stream()
            .collect(
                Collectors.toMap(InFlightAt::server, Function.identity(), (one, other) -> one));
    servers.forEach(
        (id, load) ->
            load.updatePeer(peer, Optional.ofNullable(byTag.get(InFlightAt.tag(id))), now));
  }

  /** Replaces the sum of what all other entries have in flight. */
  void updateOthers(List<InFlightAt> inFlight, long now) {
    updatePeer(ALL_OTHER_ENTRIES, inFlight, now);
  }

  /** Returns what this entry has in flight at each server that has any. */
  List<InFlightAt> digest() {
    return servers.values().stream()
        .filter(load -> load.own() > 0)
        .map(
            load ->
                new InFlightAt(
                    InFlightAt.tag(load.server().id()),
                    load.own(),
                    load.ownPendingPrefillTokens(),
                    load.ownHeldTokens()))
        .toList();
  }
}
