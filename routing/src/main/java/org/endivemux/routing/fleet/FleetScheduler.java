package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;

/**
 * Binds requests to the backend servers of the listed services.
 *
 * <p>Pure: monotonic nanoseconds are passed in and nothing is sent. Invariants: a server that
 * leaves, rests or was avoided by the job gets nothing while another has room; jobs that wait are
 * bound by urgency and then by arrival. In a fleet of many entries, known by sums that are some
 * hundred milliseconds old, a choice looks at the job's home and a few servers drawn by its id. Not
 * thread-safe: one caller at a time.
 */
public final class FleetScheduler {
  private static final int DEFAULT_SLOTS = 8;

  /** Stands for all other entries where their load is told as a sum. */
  private static final String ALL_OTHERS = "all others";

  /** Copying fewer tokens from another engine takes longer than reading them. */
  private static final int LEAST_COPIED_TOKENS = 384;

  /** Servers of a job's own group, and of all, that one choice looks at in a large fleet. */
  private static final int SAMPLES = 2;

  /**
   * Engines of a large fleet get so many times their slots: jobs that wait at many entries for room
   * would all take it at the same news of it, while an engine's own queue takes them in turn.
   */
  private static final int ROOM_FACTOR = 2;

  /** Sums that are older are no sign of a large fleet any more. */
  private static final long SUMS_FORGOTTEN_NANOS = 3_000_000_000L;

  /** Long prompts and other requests mix only when waiting apart would cost more than this. */
  private static final double OTHER_GROUP_MILLIS = 250;

  private final FleetCost cost;
  private final Map<ServiceName, ServiceSpec> specs = new HashMap<>();
  private final Map<BackendServerId, ServerLoad> servers = new TreeMap<>();
  private final Map<ServiceName, TreeSet<FleetJob>> waiting = new HashMap<>();
  private final Map<RequestId, ServerLoad> running = new HashMap<>();
  private LongPromptServers longPromptServers = new LongPromptServers(List.of());
  private long sumsHeardAt = Long.MIN_VALUE / 2;

  /**
   * Holds the server that a job is bound to. Immutable and thread-safe.
   *
   * @param copyFrom another server that probably keeps shared parts of the prompt that this one
   *     lacks
   */
  public record Binding(FleetJob job, GatewayServer server, Optional<GatewayServer> copyFrom) {}

  public FleetScheduler(FailureDomain domain) {
    this.cost = new FleetCost(domain);
  }

  /** Takes over the declared services. */
  public void updateServices(List<ServiceSpec> declared) {
    specs.clear();
    declared.forEach(spec -> specs.put(spec.name(), spec));
  }

  /** Takes over the list of backend servers; one that is no longer listed gets no new work. */
  public void updateServers(List<GatewayServer> listed) {
    Map<BackendServerId, GatewayServer> byId = new HashMap<>();
    listed.forEach(server -> byId.put(server.id(), server));
    servers.keySet().retainAll(byId.keySet());
    longPromptServers = new LongPromptServers(listed);
    byId.values()
        .forEach(
            server ->
                servers
                    .computeIfAbsent(server.id(), id -> new ServerLoad(server, memory(server)))
                    .listed(server));
  }

  private long memory(GatewayServer server) {
    return Optional.ofNullable(specs.get(server.service()))
        .flatMap(ServiceSpec::engine)
        .map(engine -> engine.memoryTokens())
        .orElse(0L);
  }

  /** Lets a job wait; {@link #bind} gives it a server. */
  public void offer(FleetJob job) {
    waiting.computeIfAbsent(job.service(), service -> new TreeSet<>(byTurn())).add(job);
  }

  private static Comparator<FleetJob> byTurn() {
    return Comparator.comparingInt(FleetJob::urgency)
        .thenComparingLong(FleetJob::arrivedAt)
        .thenComparing(FleetJob::id);
  }

  /** Binds as many waiting jobs as there is room for. */
  public List<Binding> bind(long now) {
    List<Binding> bound = new ArrayList<>();
    waiting.values().forEach(queue -> bind(queue, bound, now));
    return bound;
  }

  private void bind(Set<FleetJob> queue, List<Binding> bound, long now) {
    var jobs = queue.iterator();
    boolean hasRoom = true;
    while (jobs.hasNext() && hasRoom) {
      FleetJob job = jobs.next();
      Optional<ServerLoad> chosen = choose(job, now);
      hasRoom = chosen.isPresent();
      if (hasRoom) {
        jobs.remove();
        Optional<GatewayServer> copyFrom = copyFrom(job, chosen.get());
        chosen.get().started(job);
        running.put(job.id(), chosen.get());
        bound.add(new Binding(job, chosen.get().server(), copyFrom));
      }
    }
  }

  private Optional<ServerLoad> choose(FleetJob job, long now) {
    List<ServerLoad> open =
        of(job.service())
            .filter(load -> !job.avoid().contains(load.server().id()))
            .filter(load -> load.total(now) < room(load, now))
            .toList();
    List<ServerLoad> fit = open.stream().filter(load -> !load.rests(now)).toList();
    List<ServerLoad> candidates = fit.isEmpty() ? open : fit;
    Optional<ServerLoad> home =
        job.prompt()
            .sessionPart()
            .flatMap(part -> HomeServers.homeOf(part, ownGroup(job, candidates)));
    return Stream.concat(home.stream(), lookedAt(job, candidates, now))
        .min(
            Comparator.comparingDouble(
                load ->
                    cost.millis(job, load, home.filter(load::equals).isPresent(), now)
                        + (isOfOwnGroup(job, load) ? 0 : OTHER_GROUP_MILLIS)));
  }

  /**
   * Returns all candidates of a small fleet, and a few of a large one: what is known of a large
   * fleet is older, and entries that all take the server that looks best overrun it.
   */
  private Stream<ServerLoad> lookedAt(FleetJob job, List<ServerLoad> candidates, long now) {
    if (!isLarge(now) || candidates.isEmpty()) {
      return candidates.stream();
    }
    List<ServerLoad> own = ownGroup(job, candidates);
    return Stream.concat(
        IntStream.range(0, own.isEmpty() ? 0 : SAMPLES)
            .mapToObj(i -> own.get(draw(job, i, own.size()))),
        IntStream.range(SAMPLES, 2 * SAMPLES)
            .mapToObj(i -> candidates.get(draw(job, i, candidates.size()))));
  }

  private boolean isLarge(long now) {
    return now - sumsHeardAt < SUMS_FORGOTTEN_NANOS;
  }

  private static int draw(FleetJob job, int number, int bound) {
    int mixed = (job.id().hashCode() * 31 + number) * 0x9E3779B9;
    return Math.floorMod(mixed ^ (mixed >>> 15), bound);
  }

  /** Returns the server that keeps most of a job's shared parts, if the chosen one lacks some. */
  private Optional<GatewayServer> copyFrom(FleetJob job, ServerLoad chosen) {
    int covered = chosen.covered(job.prompt());
    Optional<PromptPart> session = job.prompt().sessionPart();
    if (session.isEmpty() || job.prompt().sharedTokens() - covered < LEAST_COPIED_TOKENS) {
      return Optional.empty();
    }
    List<ServerLoad> others = of(job.service()).filter(load -> !load.equals(chosen)).toList();
    Optional<ServerLoad> best =
        others.stream().max(Comparator.comparingInt(load -> load.covered(job.prompt())));
    return best.filter(load -> load.covered(job.prompt()) > covered)
        .or(() -> HomeServers.homeOf(session.get(), ownGroup(job, others)))
        .map(ServerLoad::server);
  }

  private List<ServerLoad> ownGroup(FleetJob job, List<ServerLoad> loads) {
    return loads.stream().filter(load -> isOfOwnGroup(job, load)).toList();
  }

  private boolean isOfOwnGroup(FleetJob job, ServerLoad load) {
    return longPromptServers.contains(load.server()) == job.longPrompts();
  }

  private Stream<ServerLoad> of(ServiceName service) {
    return servers.values().stream()
        .filter(load -> load.server().service().equals(service) && !load.server().leaving());
  }

  private int room(ServerLoad load, long now) {
    return isLarge(now) ? slots(load) * ROOM_FACTOR : slots(load);
  }

  private static int slots(ServerLoad load) {
    return load.server().slots() > 0 ? load.server().slots() : DEFAULT_SLOTS;
  }

  /** Notes the first event of a job's answer. */
  public void firstEventReceived(RequestId id) {
    Optional.ofNullable(running.get(id)).ifPresent(load -> load.firstEventReceived(id));
  }

  /** Notes the end of a job's try; an unknown job is ignored. */
  public void ended(RequestId id, AttemptResult end, long now) {
    Optional.ofNullable(running.remove(id)).ifPresent(load -> load.ended(id, end, now));
  }

  /** Removes a waiting job; returns whether it still waited. */
  public boolean cancelWaiting(FleetJob job) {
    return Optional.ofNullable(waiting.get(job.service())).filter(q -> q.remove(job)).isPresent();
  }

  /** Takes over what another entry has in flight. */
  public void peerDigest(String peer, List<InFlightAt> inFlight, long now) {
    Map<Integer, InFlightAt> byTag =
        inFlight.stream()
            .collect(
                Collectors.toMap(InFlightAt::server, Function.identity(), (one, other) -> one));
    servers.forEach(
        (id, load) -> load.peerHas(peer, Optional.ofNullable(byTag.get(InFlightAt.tag(id))), now));
  }

  /** Takes over what all other entries together have in flight, in a fleet of many entries. */
  public void updateAggregateLoad(List<InFlightAt> inFlight, long now) {
    sumsHeardAt = now;
    peerDigest(ALL_OTHERS, inFlight, now);
  }

  /** Returns what this entry has in flight at each backend server that has any. */
  public List<InFlightAt> digest() {
    return servers.values().stream()
        .filter(load -> load.own() > 0)
        .map(
            load ->
                new InFlightAt(
                    InFlightAt.tag(load.server().id()), load.own(), load.ownUnreadTokens()))
        .toList();
  }

  /** Returns the jobs that wait or run, for each service. */
  public List<ServiceLoad> loads() {
    Map<ServiceName, Integer> counts = new TreeMap<>();
    waiting.forEach((service, queue) -> counts.merge(service, queue.size(), Integer::sum));
    running.values().forEach(load -> counts.merge(load.server().service(), 1, Integer::sum));
    return counts.entrySet().stream()
        .map(entry -> new ServiceLoad(entry.getKey(), entry.getValue()))
        .toList();
  }
}
