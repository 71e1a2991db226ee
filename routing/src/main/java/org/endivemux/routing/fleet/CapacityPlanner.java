package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.CapacityBounds;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;

/**
 * Decides how many backend servers of each kind a service wants in each failure domain.
 *
 * <p>Pure: monotonic nanoseconds are passed in. Cheap ones carry the load, spread so that the rest
 * still carry it when all of one domain are reclaimed at once; steady ones stand in while cheap
 * ones are not to be had. Invariant: the wanted numbers stay within the bounds of each domain, both
 * kinds together. Confined to the leader's duties.
 */
public final class CapacityPlanner {
  /** Requests that one engine serves at a time without slowing its streams beyond their targets. */
  private static final double REQUESTS_PER_SERVER = 6;

  /** Part of an engine's slots that is in use on average, so that bursts find room. */
  private static final double BUSY_SLOTS = 1.0 / 3;

  /** Weight of the newest sample when the load grows, so that a burst is followed at once. */
  private static final double RISE = 0.5;

  /** Weight when it falls: booting again takes longer than keeping a cheap server. */
  private static final double FALL = 0.03;

  /** Fewest servers in a domain: one may fail and a burst outlast the boot of more. */
  private static final int FEWEST = 3;

  /** With less than this share of what is needed, steady servers stand in for cheap ones. */
  private static final double STAND_IN_BELOW = 0.6;

  private final Map<ServiceName, Need> needs = new HashMap<>();

  /** Holds the wanted number of one kind in one domain. Immutable and thread-safe. */
  public record Target(FailureDomain failureDomain, ServerKind kind, int count) {}

  /**
   * Returns the wanted numbers of a service.
   *
   * @param requests requests of all entries for the service, waiting or running
   * @param listed all listed backend servers
   */
  public List<Target> plan(ServiceSpec spec, int requests, Collection<GatewayServer> listed) {
    return spec.capacity()
        .map(bounds -> plan(spec, bounds, requests, ofService(spec, listed)))
        .orElse(List.of());
  }

  private List<Target> plan(
      ServiceSpec spec, CapacityBounds bounds, int requests, List<GatewayServer> serving) {
    double perServer = requestsPerServer(spec);
    Need known = needs.getOrDefault(spec.name(), Need.UNKNOWN);
    Need need =
        known.seen()
            ? known.after(requests)
            : new Need(
                Math.max(known.requests(), presumedNeed(bounds, serving) * perServer),
                requests > 0);
    needs.put(spec.name(), need);
    return plan(bounds, need.requests() / perServer, serving);
  }

  private static double requestsPerServer(ServiceSpec spec) {
    return spec.engine()
        .map(engine -> Math.min(REQUESTS_PER_SERVER, engine.slots() * BUSY_SLOTS))
        .orElse(REQUESTS_PER_SERVER);
  }

  /**
   * Returns the need that the present servers were set up for: until a first request comes, as many
   * cheap ones in each domain take their place.
   */
  private static double presumedNeed(CapacityBounds bounds, List<GatewayServer> serving) {
    long cheap = serving.stream().filter(server -> server.kind() == ServerKind.CHEAP).count();
    double domains = Math.max(1, bounds.prices().size());
    return Math.max(cheap, serving.size() - cheap) * (domains - 1) / domains;
  }

  private static List<GatewayServer> ofService(ServiceSpec spec, Collection<GatewayServer> listed) {
    return listed.stream()
        .filter(server -> server.service().equals(spec.name()) && !server.leaving())
        .toList();
  }

  private static List<Target> plan(
      CapacityBounds bounds, double needed, List<GatewayServer> serving) {
    int domains = bounds.prices().size();
    int spread = (int) Math.ceil(needed / Math.max(1, domains - 1));
    int each = Math.min(bounds.max(), Math.max(Math.max(FEWEST, bounds.min()), spread));
    long cheap = serving.stream().filter(server -> server.kind() == ServerKind.CHEAP).count();
    long missing = Math.max(0, (long) Math.ceil(needed * STAND_IN_BELOW) - serving.size());
    boolean cheapSuffice = cheap > 0 && cheap >= needed;
    return bounds.prices().keySet().stream()
        .sorted()
        .flatMap(domain -> targets(domain, bounds.max(), each, missing, cheapSuffice, serving))
        .toList();
  }

  private static Stream<Target> targets(
      FailureDomain domain,
      int max,
      int each,
      long missing,
      boolean cheapSuffice,
      List<GatewayServer> serving) {
    long cheap = count(domain, ServerKind.CHEAP, serving);
    long steady = count(domain, ServerKind.STEADY, serving);
    boolean replaced = cheapSuffice || cheap >= Math.min(each, FEWEST);
    long standIn = cheap == 0 ? Math.min(missing, each) : 0;
    long kept = replaced ? 0 : Math.min(steady, each);
    long wantedSteady = Math.min(max - 1L, Math.max(kept, standIn));
    return Stream.of(
        new Target(domain, ServerKind.CHEAP, (int) Math.min(each, max - wantedSteady)),
        new Target(domain, ServerKind.STEADY, (int) wantedSteady));
  }

  /**
   * Holds the requests at a time that a service has to be ready for.
   *
   * @param seen whether any request was seen, or the number is only presumed
   */
  private record Need(double requests, boolean seen) {
    static final Need UNKNOWN = new Need(0, false);

    Need after(int sample) {
      return new Need(requests + (sample > requests ? RISE : FALL) * (sample - requests), true);
    }
  }

  private static long count(FailureDomain domain, ServerKind kind, List<GatewayServer> serving) {
    return serving.stream()
        .filter(server -> server.failureDomain().equals(domain) && server.kind() == kind)
        .count();
  }
}
