package org.endivemux.model.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.OrganisationId;

/**
 * Holds the difference between two configurations of the gateway.
 *
 * <p>Invariant: applied to the older configuration, it gives the newer one except for the order of
 * routes and organisations, which has no meaning. Immutable and thread-safe.
 *
 * @param base version of the older configuration; 0 stands for none, so that the update holds the
 *     newer one as a whole
 * @param version version of the newer configuration
 * @param removedRoutes places of the routes that the newer one lacks
 * @param routes routes that were added or changed
 * @param services all services, if any of them was changed
 * @param limits the limits, if they were changed
 * @param removedOrganisations organisations that the newer one lacks
 * @param organisations organisations that were added or changed
 */
public record GatewayConfigUpdate(
    long base,
    long version,
    List<RoutePlace> removedRoutes,
    List<HostRoute> routes,
    Optional<List<ServiceSpec>> services,
    Optional<ClientLimits> limits,
    List<OrganisationId> removedOrganisations,
    List<OrganisationKeys> organisations) {
  public GatewayConfigUpdate {
    removedRoutes = List.copyOf(removedRoutes);
    routes = List.copyOf(routes);
    services = services.map(List::copyOf);
    removedOrganisations = List.copyOf(removedOrganisations);
    organisations = List.copyOf(organisations);
  }

  /** Returns an update that replaces any older configuration. */
  public static GatewayConfigUpdate whole(GatewayConfig config) {
    return between(GatewayConfig.none(), config);
  }

  /** Returns the difference between two configurations. */
  public static GatewayConfigUpdate between(GatewayConfig older, GatewayConfig newer) {
    Map<RoutePlace, List<HostRoute>> oldRoutes = byKey(older.routes(), RoutePlace::of);
    Map<RoutePlace, List<HostRoute>> newRoutes = byKey(newer.routes(), RoutePlace::of);
    Map<OrganisationId, List<OrganisationKeys>> oldOrganisations =
        byKey(older.organisations(), OrganisationKeys::organisation);
    Map<OrganisationId, List<OrganisationKeys>> newOrganisations =
        byKey(newer.organisations(), OrganisationKeys::organisation);
    boolean sameServices = older.services().equals(newer.services());
    boolean sameLimits = older.limits().equals(newer.limits());
    return new GatewayConfigUpdate(
        older.version(),
        newer.version(),
        removed(oldRoutes, newRoutes),
        changed(oldRoutes, newRoutes),
        sameServices ? Optional.empty() : Optional.of(newer.services()),
        sameLimits ? Optional.empty() : Optional.of(newer.limits()),
        removed(oldOrganisations, newOrganisations),
        changed(oldOrganisations, newOrganisations));
  }

  private static <K, T> List<K> removed(Map<K, List<T>> older, Map<K, List<T>> newer) {
    return older.keySet().stream().filter(key -> !newer.containsKey(key)).toList();
  }

  private static <K, T> List<T> changed(Map<K, List<T>> older, Map<K, List<T>> newer) {
    return newer.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(older.get(entry.getKey())))
        .flatMap(entry -> entry.getValue().stream())
        .toList();
  }

  /** Groups items, since an organisation may be listed several times with different keys. */
  private static <K, T> Map<K, List<T>> byKey(List<T> items, Function<T, K> key) {
    return items.stream()
        .collect(Collectors.groupingBy(key, LinkedHashMap::new, Collectors.toList()));
  }

  /**
   * Returns the newer configuration; items that are unchanged are those of the older one.
   *
   * @throws IllegalArgumentException if {@code older} is not the configuration that this is based
   *     on
   */
  public GatewayConfig applyTo(GatewayConfig older) {
    GatewayConfig from = base == 0 ? GatewayConfig.none() : older;
    if (from.version() != base) {
      throw new IllegalArgumentException(
          "The update is based on version " + base + ", not on " + from.version() + ".");
    }
    return new GatewayConfig(
        version,
        updated(from.routes(), RoutePlace::of, removedRoutes, routes),
        services.orElse(from.services()),
        limits.orElse(from.limits()),
        updated(
            from.organisations(),
            OrganisationKeys::organisation,
            removedOrganisations,
            organisations));
  }

  private static <K, T> List<T> updated(
      List<T> older, Function<T, K> key, List<K> removed, List<T> changed) {
    Set<K> replaced =
        Stream.concat(removed.stream(), changed.stream().map(key)).collect(Collectors.toSet());
    return Stream.concat(
            older.stream().filter(item -> !replaced.contains(key.apply(item))), changed.stream())
        .toList();
  }

  /** Identifies a route by what it matches. Immutable and thread-safe. */
  public record RoutePlace(String host, String pathPrefix) {
    static RoutePlace of(HostRoute route) {
      return new RoutePlace(route.host(), route.pathPrefix());
    }
  }
}
