package org.endivemux.model.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Finds what is valid in a gateway configuration but has no effect or contradicts itself. Stateless
 * and thread-safe.
 */
public final class GatewayConfigReview {
  /** Neither a host nor a path that callers send can contain these. */
  private static final Pattern NEVER_SENT = Pattern.compile("[\\s?#\\p{Cntrl}]");

  private GatewayConfigReview() {}

  /** Returns one sentence for each finding, in the order of the configuration's parts. */
  public static List<String> findings(GatewayConfig config) {
    return Stream.of(
            repeated(config.routes(), HostRoute::name, "Two routes share the name "),
            config.routes().stream().flatMap(GatewayConfigReview::ofRoute),
            config.services().stream().flatMap(service -> ofService(service, config)),
            repeated(
                config.organisations(),
                OrganisationKeys::organisation,
                "Two organisations share the name "),
            config.organisations().stream().flatMap(it -> ofOrganisation(it, config)),
            ofLimits(config.limits()))
        .flatMap(findings -> findings)
        .toList();
  }

  private static Stream<String> ofRoute(HostRoute route) {
    String name = "Route " + route.name();
    return Stream.of(
            findIf(
                route.host().isBlank()
                    || route.host().contains("/")
                    || NEVER_SENT.matcher(route.host()).find(),
                name + " never matches: no caller can send the host \"" + route.host() + "\"."),
            findIf(
                NEVER_SENT.matcher(route.pathPrefix()).find(),
                name + " never matches: no path can begin with \"" + route.pathPrefix() + "\"."),
            findIf(
                route.targetMillis() > route.timeoutMillis(),
                name + " has a target above its timeout, which ends requests first."),
            findIf(
                route.gapMillis() > route.timeoutMillis(),
                name + " allows pauses between events that are longer than its timeout."),
            findIf(
                route.gapMillis() > 0 && route.kind() != RequestKind.STREAM,
                name + " has a target for pauses between events but is no stream."),
            findIf(
                route.resumable() && route.kind() != RequestKind.STREAM,
                name + " is resumable but no stream."),
            findIf(route.maxServers() < 1, name + " allows no backend server for a request."),
            findIf(
                route.maxServers() > 1 && !route.repeatable(),
                name + " allows several attempts, but its requests may run only once."),
            findIf(route.priority() < 0, name + " has a negative priority."),
            route.shares().stream()
                .filter(share -> share.weight() == 0)
                .map(share -> name + " gives the service " + share.service() + " no request."))
        .flatMap(findings -> findings);
  }

  private static Stream<String> ofService(ServiceSpec service, GatewayConfig config) {
    String name = "Service " + service.name();
    Set<ServiceName> used =
        config.routes().stream()
            .flatMap(route -> route.shares().stream())
            .map(Share::service)
            .collect(Collectors.toSet());
    return Stream.of(
            findIf(!used.contains(service.name()), name + " is named by no route."),
            findIf(service.maxConnections() < 1, name + " accepts no connection."),
            service.engine().stream().flatMap(engine -> ofEngine(name, engine, service)),
            service.capacity().stream().flatMap(bounds -> ofCapacity(name, bounds)))
        .flatMap(findings -> findings);
  }

  private static Stream<String> ofEngine(String name, EngineProfile engine, ServiceSpec service) {
    return Stream.of(
            findIf(engine.slots() < 1, name + " has engines without slots."),
            findIf(engine.memoryTokens() < 1, name + " has engines without memory."),
            findIf(
                service.maxConnections() < engine.slots(),
                name + " accepts fewer connections than its engines have slots."))
        .flatMap(findings -> findings);
  }

  private static Stream<String> ofCapacity(String name, CapacityBounds bounds) {
    return Stream.of(
            findIf(
                bounds.min() > bounds.max(), name + " has a minimum of servers above its maximum."),
            findIf(bounds.max() < 1, name + " may have no server in any domain."),
            findIf(bounds.prices().isEmpty(), name + " has no domain to order servers in."),
            findIf(
                bounds.spotPrice() > 1,
                name + " has spot servers that cost more than steady ones."))
        .flatMap(findings -> findings);
  }

  private static Stream<String> ofOrganisation(OrganisationKeys keys, GatewayConfig config) {
    String name = "Organisation " + keys.organisation();
    boolean allOpen =
        !config.routes().isEmpty() && config.routes().stream().allMatch(HostRoute::open);
    return Stream.of(
            findIf(keys.keys().isEmpty(), name + " has no key, so no request is ever its own."),
            findIf(allOpen && !keys.keys().isEmpty(), name + " has keys, but every route is open."),
            findIf(keys.priority().orElse(0) < 0, name + " has a negative priority."))
        .flatMap(findings -> findings);
  }

  private static Stream<String> ofLimits(ClientLimits limits) {
    return Stream.of(
            findIf(limits.headerBytes() < 1, "The limits accept no header."),
            findIf(limits.bodyBytes() < 1, "The limits accept no body."),
            findIf(
                limits.headerMillis() < 1 || limits.idleMillis() < 1,
                "The limits allow callers no time."),
            findIf(
                limits.headerMillis() > limits.idleMillis(),
                "The limits allow more time for a header than a connection may be idle."))
        .flatMap(findings -> findings);
  }

  private static <T> Stream<String> repeated(
      List<T> parts, Function<T, Object> name, String sentence) {
    return parts.stream()
        .collect(Collectors.groupingBy(name, LinkedHashMap::new, Collectors.counting()))
        .entrySet()
        .stream()
        .filter(entry -> entry.getValue() > 1)
        .map(entry -> sentence + entry.getKey() + ".");
  }

  private static Stream<String> findIf(boolean found, String sentence) {
    return found ? Stream.of(sentence) : Stream.empty();
  }
}
