package org.endivemux.routing.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Selects the server of a job among those with capacity, and the one that it copies shared parts of
 * the prompt from.
 *
 * <p>Not thread-safe: confined to its scheduler.
 */
final class ServerSelection {
  /** Copying fewer tokens from another engine takes longer than their prefill. */
  private static final int MIN_COPIED_TOKENS = 384;

  /**
   * Servers sampled from the job's own group, and again from all, in a large fleet. Comparing more
   * of them lets many entries select the same one at the same moment.
   */
  private static final int SAMPLES_PER_GROUP = 1;

  /**
   * Engines of a large fleet that hold the same shared prompt part. Each further one reads the part
   * once more, and fewer would be too few for a part that many requests use.
   */
  private static final int REPLICAS_PER_PART = 2;

  /**
   * Penalty for a server outside the job's group: long prompts and other requests mix only when
   * keeping them apart would cost more than this.
   */
  private static final double OTHER_GROUP_PENALTY_MILLIS = 250;

  private final FleetCost cost;
  private LongPromptServers longPromptServers = new LongPromptServers(List.of());

  ServerSelection(FailureDomain domain) {
    this.cost = new FleetCost(domain);
  }

  /** Replaces the list of backend servers. */
  void updateServers(List<GatewayServer> listed) {
    longPromptServers = new LongPromptServers(listed);
  }

  /**
   * Returns the server with the lowest cost among the preferred ones and, in a large fleet, a few
   * sampled ones; empty if no candidate has room.
   */
  Optional<ServerLoad> choose(
      FleetJob job,
      Candidates candidates,
      PrefillRate prefillRate,
      boolean isLargeFleet,
      long now) {
    return cheapest(
        job,
        candidates,
        sampledCandidates(job, candidates.withRoom(), isLargeFleet),
        isLargeFleet,
        (load, isPreferred) -> cost.millis(job, load, isPreferred, prefillRate, now));
  }

  /**
   * Returns the server with the lowest cost as {@link #choose} does, where servers differ in speed
   * and report their slowdown. In a large fleet one server of the job's own group and one of all
   * are sampled, each in proportion to its usual speed. They are not taken from the entry's domain
   * first, since that would overload the domain's servers when its demand rises.
   */
  Optional<ServerLoad> chooseBySpeed(
      FleetJob job,
      Candidates candidates,
      PrefillRate prefillRate,
      boolean isLargeFleet,
      long now) {
    return cheapest(
        job,
        candidates,
        isLargeFleet ? sampledBySpeed(job, candidates.withRoom()) : candidates.withRoom().stream(),
        isLargeFleet,
        (load, isPreferred) -> cost.measuredMillis(job, load, isPreferred, prefillRate, now));
  }

  private Optional<ServerLoad> cheapest(
      FleetJob job,
      Candidates candidates,
      Stream<ServerLoad> sampled,
      boolean isLargeFleet,
      ServerCost millis) {
    List<ServerLoad> preferred =
        preferredServers(job, candidates.listed(), isLargeFleet).stream()
            .filter(candidates.withRoom()::contains)
            .toList();
    return Stream.of(preferred.stream(), sampled, candidates.paced().stream())
        .flatMap(loads -> loads)
        .min(
            Comparator.comparingDouble(
                load ->
                    millis.of(load, preferred.contains(load))
                        + (isOfOwnGroup(job, load) ? 0 : OTHER_GROUP_PENALTY_MILLIS)));
  }

  /** Returns the cost of one job at a server, in milliseconds. */
  private interface ServerCost {
    double of(ServerLoad load, boolean isPreferred);
  }

  private Stream<ServerLoad> sampledBySpeed(FleetJob job, List<ServerLoad> withRoom) {
    return Stream.of(
            SpeedSample.of(job.id(), 0, ownGroup(job, withRoom)),
            SpeedSample.of(job.id(), 1, withRoom))
        .flatMap(Optional::stream)
        .distinct();
  }

  private List<ServerLoad> preferredServers(
      FleetJob job, List<ServerLoad> candidates, boolean isLargeFleet) {
    return job.prompt()
        .sessionPart()
        .map(
            part ->
                PreferredServers.preferredServersOf(
                    part, ownGroup(job, candidates), isLargeFleet ? REPLICAS_PER_PART : 1))
        .orElse(List.of());
  }

  /**
   * Returns all candidates of a small fleet and a sample of a large one. The load of a large fleet
   * is known with a delay, so entries that all select the apparently best server would overload it.
   */
  private Stream<ServerLoad> sampledCandidates(
      FleetJob job, List<ServerLoad> candidates, boolean isLargeFleet) {
    if (!isLargeFleet || candidates.isEmpty()) {
      return candidates.stream();
    }
    List<ServerLoad> own = ownGroup(job, candidates);
    return Stream.concat(
        IntStream.range(0, own.isEmpty() ? 0 : SAMPLES_PER_GROUP)
            .mapToObj(i -> own.get(sampleIndex(job, i, own.size()))),
        IntStream.range(SAMPLES_PER_GROUP, 2 * SAMPLES_PER_GROUP)
            .mapToObj(i -> candidates.get(sampleIndex(job, i, candidates.size()))));
  }

  private static int sampleIndex(FleetJob job, int number, int bound) {
    int mixed = (job.id().hashCode() * 31 + number) * 0x9E3779B9;
    return Math.floorMod(mixed ^ (mixed >>> 15), bound);
  }

  /** Returns the server that caches most of a job's shared parts, if the chosen one lacks some. */
  Optional<GatewayServer> copyFrom(FleetJob job, ServerLoad chosen, Stream<ServerLoad> servers) {
    int cached = chosen.cachedTokens(job.prompt());
    Optional<PromptPart> session = job.prompt().sessionPart();
    if (session.isEmpty() || job.prompt().sharedTokens() - cached < MIN_COPIED_TOKENS) {
      return Optional.empty();
    }
    List<ServerLoad> others = servers.filter(load -> !load.equals(chosen)).toList();
    Optional<ServerLoad> best =
        others.stream().max(Comparator.comparingInt(load -> load.cachedTokens(job.prompt())));
    return best.filter(load -> load.cachedTokens(job.prompt()) > cached)
        .or(
            () ->
                PreferredServers.preferredServersOf(session.get(), ownGroup(job, others), 1)
                    .stream()
                    .findFirst())
        .map(ServerLoad::server);
  }

  private List<ServerLoad> ownGroup(FleetJob job, List<ServerLoad> loads) {
    return loads.stream().filter(load -> isOfOwnGroup(job, load)).toList();
  }

  private boolean isOfOwnGroup(FleetJob job, ServerLoad load) {
    return longPromptServers.contains(load.server()) == job.longPrompts();
  }
}
