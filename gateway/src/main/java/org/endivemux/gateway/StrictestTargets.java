package org.endivemux.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.ServiceName;

/** Finds the strictest target of each urgency at each service. Stateless. */
final class StrictestTargets {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private StrictestTargets() {}

  /** Returns targets in nanoseconds; routes without a target have no part in them. */
  static Map<ServiceName, NavigableMap<Integer, Long>> of(
      GatewayConfig config, Urgencies urgencies) {
    Map<ServiceName, NavigableMap<Integer, Long>> strictest = new HashMap<>();
    config.routes().stream()
        .filter(route -> route.targetMillis() > 0)
        .forEach(
            route -> urgencies.ranksOf(route).forEach(urgency -> add(route, urgency, strictest)));
    return strictest;
  }

  private static void add(
      HostRoute route, int urgency, Map<ServiceName, NavigableMap<Integer, Long>> strictest) {
    route
        .shares()
        .forEach(
            share ->
                strictest
                    .computeIfAbsent(share.service(), none -> new TreeMap<>())
                    .merge(urgency, route.targetMillis() * NANOS_PER_MILLI, Math::min));
  }
}
