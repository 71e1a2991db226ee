package org.endivemux.routing.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;

/**
 * Chooses the server of a job among those that have room for it.
 *
 * <p>Invariants: a server that the job avoids, or whose version began another stream than the
 * job's, is never chosen, and one in backoff only if no other has room; one that leaves is chosen
 * only for a job that continues a stream and that no open server may run. In a fleet of many
 * entries, whose load is known as sums that are some hundred milliseconds old, only the job's
 * preferred servers and a few servers sampled by its id are compared. Holds the learnt prefill rate
 * of each service. Not thread-safe.
 */
final class ServerChooser {
  private final ServerSelection selection;
  private final FleetServers servers;
  private final SlotLimits limits;
  private final WarmUpLimit warmUp;
  private final ServiceSpeeds speeds;
  private final EngineAdmissions admissions;
  private final Map<ServiceName, PrefillRate> prefillRates = new HashMap<>();

  ServerChooser(
      FailureDomain domain,
      FleetServers servers,
      SlotLimits limits,
      WarmUpLimit warmUp,
      ServiceSpeeds speeds,
      OverloadProtection protection) {
    this.selection = new ServerSelection(domain);
    this.servers = servers;
    this.limits = limits;
    this.warmUp = warmUp;
    this.speeds = speeds;
    this.admissions = new EngineAdmissions(protection, this::prefillRate);
  }

  /** Returns the admissions of engines, which decide on jobs under overload protection. */
  EngineAdmissions admissions() {
    return admissions;
  }

  /** Replaces the list of servers that are selected from. */
  void updateServers(List<GatewayServer> listed) {
    selection.updateServers(listed);
  }

  /** Returns the server of a job, or empty if none has room. */
  Optional<ServerLoad> choose(FleetJob job, long now) {
    List<ServerLoad> withRoom =
        allowedServers(job, now).filter(load -> hasRoom(job, load, now)).toList();
    List<ServerLoad> available = withRoom.stream().filter(load -> !load.isBackingOff(now)).toList();
    List<ServerLoad> candidates = available.isEmpty() ? withRoom : available;
    return choose(job, candidates, now);
  }

  /**
   * Returns the servers that may run a job: the open ones or, if there are none, the leaving ones
   * that still serve. Only a stream that another server began may need those.
   */
  private Stream<ServerLoad> allowedServers(FleetJob job, long now) {
    return !job.continuesStream() || hasOpenServer(job)
        ? servers.openServers(job.service()).filter(load -> isAllowed(job, load))
        : servers.drainingServers(job.service(), now).filter(load -> isAllowed(job, load));
  }

  /** Returns whether nothing in the job itself excludes a server. */
  private static boolean isAllowed(FleetJob job, ServerLoad load) {
    return job.isVersionAllowed(load.server()) && !job.avoid().contains(load.server().id());
  }

  /** Returns whether a job may run at any server, now or when one has room. */
  boolean hasServer(FleetJob job, long now) {
    return allowedServers(job, now).findAny().isPresent();
  }

  private boolean hasOpenServer(FleetJob job) {
    return servers.openServers(job.service()).anyMatch(load -> isAllowed(job, load));
  }

  private Optional<ServerLoad> choose(FleetJob job, List<ServerLoad> withRoom, long now) {
    List<ServerLoad> listed =
        admissions.isOn(job.service()) ? servers.openServers(job.service()).toList() : withRoom;
    List<ServerLoad> paced =
        withRoom.stream().filter(load -> warmUp.isPaced(load.server().id(), now)).toList();
    Candidates candidates = new Candidates(withRoom, listed, paced);
    PrefillRate rate = prefillRate(job.service());
    return usesSpeeds(job.service(), now)
        ? selection.chooseBySpeed(job, candidates, rate, limits.isLarge(now), now)
        : selection.choose(job, candidates, rate, limits.isLarge(now), now);
  }

  private boolean hasRoom(FleetJob job, ServerLoad load, long now) {
    return admissions.isOn(job.service())
        ? admissions.of(job.service()).admits(job, load, limits.usableSlots(load, now), now)
        : load.total(now) < limits.capacity(load, now);
  }

  /**
   * Returns a server that probably has parts of the prompt cached which the chosen one lacks. It
   * has the same version, since servers cannot use what another version wrote.
   */
  Optional<GatewayServer> copyFrom(FleetJob job, ServerLoad chosen) {
    return selection.copyFrom(
        job,
        chosen,
        servers
            .openServers(job.service())
            .filter(load -> load.server().version().equals(chosen.server().version())));
  }

  /** Returns the time until a server has prefilled what is pending there. */
  long expectedPrefillNanos(ServerLoad load, long now) {
    long atUsualSpeed =
        prefillRate(load.server().service()).nanosFor(load.pendingPrefillTokens(now));
    return speeds.isOn(load.server().service())
        ? (long) (atUsualSpeed / load.speed().now(now))
        : atUsualSpeed;
  }

  /** Returns the prefill rate of a service, learnt or not yet. */
  PrefillRate prefillRate(ServiceName service) {
    return prefillRates.computeIfAbsent(service, name -> new PrefillRate());
  }

  /**
   * Returns whether servers are compared by speed. While the sums of a large fleet are lost they
   * are not: entries that do not see each other's load would all select the fastest servers.
   */
  private boolean usesSpeeds(ServiceName service, long now) {
    return speeds.isOn(service) && !limits.isAggregateLoadLost(now);
  }
}
