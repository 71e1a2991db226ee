package org.endivemux.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.OrganisationKeys;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.Share;

/**
 * Looks up routes, services and organisations of one configuration.
 *
 * <p>Invariant: the longest matching path prefix wins. Immutable and thread-safe.
 */
final class RouteTable {
  private final GatewayConfig config;
  private final Map<String, Map<String, HostRoute>> byHostAndPrefix;
  private final Map<ServiceName, ServiceSpec> services;
  private final Urgencies urgencies;
  private final Map<KeyDigest, OrganisationKeys> organisations = new HashMap<>();

  RouteTable(GatewayConfig config) {
    this.config = config;
    this.byHostAndPrefix =
        config.routes().stream()
            .collect(
                Collectors.groupingBy(
                    route -> route.host().toLowerCase(Locale.ROOT),
                    Collectors.toMap(
                        HostRoute::pathPrefix, route -> route, (first, second) -> first)));
    this.services =
        config.services().stream().collect(Collectors.toMap(ServiceSpec::name, spec -> spec));
    this.urgencies = Urgencies.of(config);
    config
        .organisations()
        .forEach(
            organisation ->
                organisation.keys().forEach(key -> organisations.put(key, organisation)));
  }

  GatewayConfig config() {
    return config;
  }

  /**
   * Looks up each prefix of the path that ends with a slash, since only such prefixes are valid.
   */
  Optional<HostRoute> route(String host, String path) {
    Map<String, HostRoute> byPrefix =
        byHostAndPrefix.getOrDefault(host.toLowerCase(Locale.ROOT), Map.of());
    return IntStream.iterate(
            path.lastIndexOf('/'), slash -> slash >= 0, slash -> path.lastIndexOf('/', slash - 1))
        .mapToObj(slash -> byPrefix.get(path.substring(0, slash + 1)))
        .filter(Objects::nonNull)
        .findFirst();
  }

  Optional<OrganisationKeys> organisation(KeyDigest key) {
    return Optional.ofNullable(organisations.get(key));
  }

  /** Returns the rank of a request, 0 is the most urgent. */
  int urgency(HostRoute route, Optional<OrganisationKeys> organisation) {
    return urgencies.of(
        route, organisation.map(OrganisationKeys::priority).orElse(OptionalInt.empty()));
  }

  Optional<ServiceSpec> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  boolean hasOrganisations() {
    return !config.organisations().isEmpty();
  }

  /** Returns the service that a request goes to; equal spread values give the same service. */
  static ServiceName pick(HostRoute route, int spread) {
    double sum = route.shares().stream().mapToDouble(Share::weight).sum();
    double remaining = (spread & Integer.MAX_VALUE) / (double) Integer.MAX_VALUE * sum;
    List<Share> weighted = route.shares().stream().filter(share -> share.weight() > 0).toList();
    for (Share share : weighted) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return weighted.get(weighted.size() - 1).service();
  }
}
