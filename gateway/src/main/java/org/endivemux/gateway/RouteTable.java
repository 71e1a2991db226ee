package org.endivemux.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
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
  private final Map<String, List<HostRoute>> byHost;
  private final Map<ServiceName, ServiceSpec> services;
  private final Map<KeyDigest, OrganisationKeys> organisations = new HashMap<>();

  RouteTable(GatewayConfig config) {
    this.config = config;
    Comparator<HostRoute> longestFirst =
        Comparator.comparingInt((HostRoute route) -> route.pathPrefix().length()).reversed();
    this.byHost =
        config.routes().stream()
            .sorted(longestFirst)
            .collect(Collectors.groupingBy(route -> route.host().toLowerCase(Locale.ROOT)));
    this.services =
        config.services().stream().collect(Collectors.toMap(ServiceSpec::name, spec -> spec));
    config
        .organisations()
        .forEach(
            organisation ->
                organisation.keys().forEach(key -> organisations.put(key, organisation)));
  }

  GatewayConfig config() {
    return config;
  }

  Optional<HostRoute> route(String host, String path) {
    return byHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  Optional<OrganisationKeys> organisation(KeyDigest key) {
    return Optional.ofNullable(organisations.get(key));
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
