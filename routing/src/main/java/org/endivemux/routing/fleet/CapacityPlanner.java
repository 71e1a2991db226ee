package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.CapacityBounds;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;

/**
 * Computes the target number of backend servers of each kind for a service in each failure domain.
 *
 * <p>Does no I/O. Spot servers carry the load and are distributed so that the remaining ones can
 * still carry it when those of a whole domain are reclaimed at once; steady servers are the
 * fallback while spot servers are unavailable. Invariant: the targets of both kinds together stay
 * within the bounds of each domain. An evacuated domain counts as no capacity and is kept at its
 * lower bound, so that it can come back. Confined to the leader's tasks.
 */
public final class CapacityPlanner {
  /** Concurrent requests of one engine that do not slow its streams beyond their targets. */
  private static final double REQUESTS_PER_SERVER = 6;

  /** Part of an engine's slots that is in use on average, so that bursts find free slots. */
  private static final double TARGET_SLOT_UTILISATION = 1.0 / 3;

  /** Weight of the newest sample when the load grows, so that a burst is followed quickly. */
  private static final double RISE_WEIGHT = 0.5;

  /** Weight when the load falls: starting a spot server again takes longer than retaining it. */
  private static final double FALL_WEIGHT = 0.03;

  /** One server may fail, and a burst may need capacity before more servers have booted. */
  private static final int MIN_SERVERS_PER_DOMAIN = 3;

  /** With less than this share of the needed servers, steady ones replace missing spot ones. */
  private static final double STEADY_FALLBACK_THRESHOLD = 0.6;

  private final Map<ServiceName, Demand> demands = new HashMap<>();

  /** Holds the target number of one kind in one domain. Immutable and thread-safe. */
  public record Target(FailureDomain failureDomain, ServerKind kind, int count) {}

  /**
   * Returns the targets of a service.
   *
   * @param requests waiting and running requests of all entries for the service
   * @param listed all listed backend servers
   * @param evacuated domains whose servers get no requests; their targets come last
   */
  public List<Target> plan(
      ServiceSpec spec,
      int requests,
      Collection<GatewayServer> listed,
      Set<FailureDomain> evacuated) {
    return spec.capacity()
        .map(bounds -> plan(spec, bounds, requests, ofService(spec, listed), evacuated))
        .orElse(List.of());
  }

  private List<Target> plan(
      ServiceSpec spec,
      CapacityBounds bounds,
      int requests,
      List<GatewayServer> serving,
      Set<FailureDomain> evacuated) {
    double perServer = requestsPerServer(spec);
    Demand known = demands.getOrDefault(spec.name(), Demand.UNKNOWN);
    Demand demand =
        known.observed()
            ? known.after(requests)
            : new Demand(
                Math.max(known.requests(), presumedDemand(bounds, serving) * perServer),
                requests > 0);
    demands.put(spec.name(), demand);
    return plan(bounds, demand.requests() / perServer, serving, evacuated);
  }

  private static double requestsPerServer(ServiceSpec spec) {
    return spec.engine()
        .map(engine -> Math.min(REQUESTS_PER_SERVER, engine.slots() * TARGET_SLOT_UTILISATION))
        .orElse(REQUESTS_PER_SERVER);
  }

  /**
   * Returns the number of servers that the present set-up implies. It is used until the first
   * request arrives, so that in each domain the same number of spot servers replaces the steady
   * ones.
   */
  private static double presumedDemand(CapacityBounds bounds, List<GatewayServer> serving) {
    long spot = serving.stream().filter(server -> server.kind() == ServerKind.CHEAP).count();
    double domains = Math.max(1, bounds.prices().size());
    return Math.max(spot, serving.size() - spot) * (domains - 1) / domains;
  }

  private static List<GatewayServer> ofService(ServiceSpec spec, Collection<GatewayServer> listed) {
    return listed.stream()
        .filter(server -> server.service().equals(spec.name()) && !server.leaving())
        .toList();
  }

  private static List<Target> plan(
      CapacityBounds bounds,
      double needed,
      List<GatewayServer> listed,
      Set<FailureDomain> evacuated) {
    List<FailureDomain> domains =
        bounds.prices().keySet().stream().filter(domain -> !evacuated.contains(domain)).toList();
    List<GatewayServer> serving =
        listed.stream().filter(server -> !evacuated.contains(server.failureDomain())).toList();
    return Stream.concat(
            plan(bounds, domains, needed, serving).stream(),
            bounds.prices().keySet().stream()
                .filter(evacuated::contains)
                .sorted()
                .flatMap(domain -> minimum(domain, bounds.min(), listed)))
        .toList();
  }

  /** Returns the targets of an evacuated domain; steady servers stay only in place of spot ones. */
  private static Stream<Target> minimum(FailureDomain domain, int min, List<GatewayServer> listed) {
    long lacking = Math.max(0, min - count(domain, ServerKind.CHEAP, listed));
    int steady = (int) Math.min(lacking, count(domain, ServerKind.STEADY, listed));
    return Stream.of(
        new Target(domain, ServerKind.CHEAP, min - steady),
        new Target(domain, ServerKind.STEADY, steady));
  }

  private static List<Target> plan(
      CapacityBounds bounds,
      List<FailureDomain> domains,
      double needed,
      List<GatewayServer> serving) {
    int neededPerDomain = (int) Math.ceil(needed / Math.max(1, domains.size() - 1));
    int perDomain =
        Math.min(
            bounds.max(),
            Math.max(Math.max(MIN_SERVERS_PER_DOMAIN, bounds.min()), neededPerDomain));
    long spot = serving.stream().filter(server -> server.kind() == ServerKind.CHEAP).count();
    long missing =
        Math.max(0, (long) Math.ceil(needed * STEADY_FALLBACK_THRESHOLD) - serving.size());
    boolean spotSuffices = spot > 0 && spot >= needed;
    return domains.stream()
        .sorted()
        .flatMap(domain -> targets(domain, bounds.max(), perDomain, missing, spotSuffices, serving))
        .toList();
  }

  private static Stream<Target> targets(
      FailureDomain domain,
      int max,
      int perDomain,
      long missing,
      boolean spotSuffices,
      List<GatewayServer> serving) {
    long spot = count(domain, ServerKind.CHEAP, serving);
    long steady = count(domain, ServerKind.STEADY, serving);
    boolean replaced = spotSuffices || spot >= Math.min(perDomain, MIN_SERVERS_PER_DOMAIN);
    long fallback = spot == 0 ? Math.min(missing, perDomain) : 0;
    long retained = replaced ? 0 : Math.min(steady, perDomain);
    long steadyTarget = Math.min(max - 1L, Math.max(retained, fallback));
    return Stream.of(
        new Target(domain, ServerKind.CHEAP, (int) Math.min(perDomain, max - steadyTarget)),
        new Target(domain, ServerKind.STEADY, (int) steadyTarget));
  }

  /**
   * Holds the concurrent requests that a service needs capacity for.
   *
   * @param observed whether any request was observed; otherwise the number is only presumed
   */
  private record Demand(double requests, boolean observed) {
    static final Demand UNKNOWN = new Demand(0, false);

    Demand after(int sample) {
      return new Demand(
          requests + (sample > requests ? RISE_WEIGHT : FALL_WEIGHT) * (sample - requests), true);
    }
  }

  private static long count(FailureDomain domain, ServerKind kind, List<GatewayServer> serving) {
    return serving.stream()
        .filter(server -> server.failureDomain().equals(domain) && server.kind() == kind)
        .count();
  }
}
