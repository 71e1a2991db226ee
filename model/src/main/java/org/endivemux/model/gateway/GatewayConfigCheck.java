package org.endivemux.model.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Validates gateway configurations. Stateless and thread-safe. */
public final class GatewayConfigCheck {
  private GatewayConfigCheck() {}

  /** Returns one sentence for each error; empty when the configuration is valid. */
  public static List<String> errors(GatewayConfig config) {
    Set<ServiceName> services =
        config.services().stream().map(ServiceSpec::name).collect(Collectors.toSet());
    return Stream.of(
            config.version() > 0
                ? Stream.<String>empty()
                : Stream.of("The version must be greater than 0."),
            config.routes().stream().flatMap(route -> routeErrors(route, services)),
            repeated(
                config.routes(),
                route -> route.host().toLowerCase(Locale.ROOT) + route.pathPrefix(),
                "Two routes share the host and prefix "),
            repeated(config.services(), ServiceSpec::name, "Two services share the name "),
            repeated(
                config.organisations().stream()
                    .flatMap(organisation -> organisation.keys().stream())
                    .toList(),
                key -> key,
                "Two organisations share the key with the digest "))
        .flatMap(errors -> errors)
        .toList();
  }

  private static Stream<String> routeErrors(HostRoute route, Set<ServiceName> services) {
    Stream<String> unknown =
        route.shares().stream()
            .map(Share::service)
            .filter(service -> !services.contains(service))
            .map(
                service -> "Route " + route.name() + " names the unknown service " + service + ".");
    return Stream.of(
            unknown,
            errorIf(
                route.shares().stream().anyMatch(share -> share.weight() < 0)
                    || route.shares().stream().mapToDouble(Share::weight).sum() <= 0,
                "Route " + route.name() + " needs weights that add up to more than 0."),
            errorIf(
                route.timeoutMillis() <= 0,
                "Route " + route.name() + " needs a timeout greater than 0."),
            errorIf(
                !route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/"),
                "The prefix of route " + route.name() + " must begin and end with a slash."))
        .flatMap(errors -> errors);
  }

  private static Stream<String> errorIf(boolean wrong, String sentence) {
    return wrong ? Stream.of(sentence) : Stream.empty();
  }

  private static <T> Stream<String> repeated(
      List<T> items, Function<T, Object> identity, String sentence) {
    Set<Object> seen = new HashSet<>();
    return items.stream().map(identity).filter(id -> !seen.add(id)).map(id -> sentence + id + ".");
  }
}
