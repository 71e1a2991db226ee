package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerReport;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;

/**
 * Binds requests to the backend servers of the listed services.
 *
 * <p>Does no I/O and reads no clock: monotonic nanoseconds are passed in. Invariants: a server that
 * is leaving or paused, is in an evacuated domain or that the job avoids gets nothing, and one in
 * backoff gets nothing while another has capacity; a cold one gets what {@link WarmUpLimit} allows;
 * waiting jobs are bound by urgency and then by arrival. In a fleet of many entries, whose load is
 * known as sums that are some hundred milliseconds old, only the job's preferred servers and a few
 * servers sampled by its id are compared. Not thread-safe: one caller at a time.
 */
public final class FleetScheduler {
  private static final int DEFAULT_SLOTS = 8;

  /** Peer name for the sum over all other entries. */
  private static final String ALL_OTHER_ENTRIES = "all others";

  /**
   * Multiple of its slots that an engine of a large fleet is sent. Otherwise jobs that wait at many
   * entries would all take the same free slots as soon as they learn of them, while an engine's own
   * queue serves them in order.
   */
  private static final int LARGE_FLEET_CAPACITY_FACTOR = 2;

  private static final TreeSet<FleetJob> NO_JOBS = new TreeSet<>(queueOrder());

  /** The fleet no longer counts as large when the last sum is this old. */
  private static final long AGGREGATE_LOAD_EXPIRY_NANOS = 3_000_000_000L;

  private final ServerSelection selection;
  private final ServerNotices notices;
  private final WarmUpLimit warmUp;
  private final OverloadProtection protection;
  private final Map<ServiceName, EngineRoom> rooms = new HashMap<>();
  private final Map<ServiceName, ServiceSpec> specs = new HashMap<>();
  private final Map<BackendServerId, ServerLoad> servers = new TreeMap<>();
  private final Map<ServiceName, TreeSet<FleetJob>> waiting = new HashMap<>();
  private final Map<RequestId, ServerLoad> running = new HashMap<>();
  private final Map<ServiceName, PrefillRate> prefillRates = new HashMap<>();
  private Set<FailureDomain> evacuated = Set.of();
  private final ServiceSpeeds speeds = new ServiceSpeeds();
  private long aggregateLoadAt = Long.MIN_VALUE / 2;

  /**
   * Holds the server that a job is bound to. Immutable and thread-safe.
   *
   * @param copyFrom another server that probably has shared parts of the prompt cached that this
   *     one lacks
   * @param expectedPrefillNanos time until the server has prefilled what is pending there, this job
   *     included
   */
  public record Binding(
      FleetJob job,
      GatewayServer server,
      Optional<GatewayServer> copyFrom,
      long expectedPrefillNanos) {}

  /** Creates a scheduler for servers without a warm-up, without overload protection. */
  public FleetScheduler(FailureDomain domain, ServerNotices notices) {
    this(domain, notices, WarmUpLimit.withoutEntries(), OverloadProtection.off());
  }

  /** Creates a scheduler; {@code warmUp}, which limits cold servers, is used by no other one. */
  public FleetScheduler(
      FailureDomain domain,
      ServerNotices notices,
      WarmUpLimit warmUp,
      OverloadProtection protection) {
    this.selection = new ServerSelection(domain);
    this.notices = notices;
    this.warmUp = warmUp;
    this.protection = protection;
  }

  /**
   * Replaces the strictest target of each urgency at each service, in nanoseconds. Used only under
   * overload protection.
   */
  public void updateTargets(Map<ServiceName, NavigableMap<Integer, Long>> strictest) {
    rooms.forEach((name, room) -> room.updateTargets(new TreeMap<>()));
    strictest.forEach((name, targets) -> room(name).updateTargets(targets));
  }

  private EngineRoom room(ServiceName service) {
    return rooms.computeIfAbsent(
        service, name -> new EngineRoom(protection.entries(), prefillRate(name)));
  }

  /** Replaces the declared services. */
  public void updateServices(List<ServiceSpec> declared) {
    specs.clear();
    declared.forEach(spec -> specs.put(spec.name(), spec));
    warmUp.updateServices(declared);
  }

  /**
   * Replaces the list of backend servers, some of which may be cold.
   *
   * @param trueMillis true time at {@code now}, in Unix milliseconds
   */
  public void updateServers(List<GatewayServer> listed, long now, long trueMillis) {
    warmUp.updateServers(listed, now, trueMillis);
    updateServers(listed);
  }

  /**
   * Records that a failure domain is no longer evacuated: its servers are treated as cold where
   * their service has a warm-up, and get back to their slots in steps everywhere else.
   */
  public void evacuationEnded(FailureDomain domain, long now) {
    warmUp.evacuationEnded(domain, now);
  }

  /** Returns which servers are treated as cold since the last call. */
  public List<WarmUpLimit.Decision> takeWarmUpDecisions() {
    return warmUp.takeDecisions();
  }

  /** Returns the number of servers that are treated as cold. */
  public int coldCount(long now) {
    return warmUp.coldCount(now);
  }

  /** Returns whether jobs wait that may be bound by the passing of time alone. */
  public boolean awaitsWarmUp(long now) {
    return waiting.values().stream().anyMatch(queue -> !queue.isEmpty()) && warmUp.isWarmingUp(now);
  }

  /** Replaces the list of backend servers; one that is no longer listed gets no new work. */
  public void updateServers(List<GatewayServer> listed) {
    Map<BackendServerId, GatewayServer> byId = new HashMap<>();
    listed.forEach(server -> byId.put(server.id(), server));
    servers.keySet().retainAll(byId.keySet());
    selection.updateServers(listed);
    byId.values()
        .forEach(
            server ->
                servers
                    .computeIfAbsent(
                        server.id(), id -> new ServerLoad(server, memoryTokens(server)))
                    .updateListing(server));
  }

  /** Replaces the evacuated domains, whose servers get no new request and are not copied from. */
  public void updateEvacuated(Set<FailureDomain> domains) {
    evacuated = Set.copyOf(domains);
  }

  /**
   * Removes and returns the waiting jobs of services whose servers are all evacuated or leaving;
   * without an evacuation there are none.
   */
  public List<FleetJob> removeEvacuated() {
    if (evacuated.isEmpty()) {
      return List.of();
    }
    List<FleetJob> removed = new ArrayList<>();
    waiting.forEach(
        (service, queue) -> {
          if (!queue.isEmpty() && isEvacuated(service)) {
            removed.addAll(queue);
            queue.clear();
          }
        });
    return removed;
  }

  private boolean isEvacuated(ServiceName service) {
    return serversOf(service).findAny().isEmpty()
        && servers.values().stream()
            .map(ServerLoad::server)
            .filter(server -> server.service().equals(service))
            .anyMatch(server -> evacuated.contains(server.failureDomain()));
  }

  private long memoryTokens(GatewayServer server) {
    return Optional.ofNullable(specs.get(server.service()))
        .flatMap(ServiceSpec::engine)
        .map(engine -> engine.memoryTokens())
        .orElse(0L);
  }

  /** Queues a job until {@link #bind} selects its server. */
  public void offer(FleetJob job) {
    waiting.computeIfAbsent(job.service(), service -> new TreeSet<>(queueOrder())).add(job);
    if (isProtected(job.service())) {
      room(job.service()).offered(job, job.arrivedAt());
    }
  }

  private static Comparator<FleetJob> queueOrder() {
    return Comparator.comparingInt(FleetJob::urgency)
        .thenComparingLong(FleetJob::arrivedAt)
        .thenComparing(FleetJob::id);
  }

  /** Binds as many waiting jobs as the free capacity allows. */
  public List<Binding> bind(long now) {
    List<Binding> bound = new ArrayList<>();
    waiting.values().forEach(queue -> bind(queue, bound, now));
    return bound;
  }

  private void bind(NavigableSet<FleetJob> queue, List<Binding> bound, long now) {
    if (!queue.isEmpty() && isProtected(queue.first().service())) {
      bindAllWithRoom(queue, bound, now);
      return;
    }
    var jobs = queue.iterator();
    boolean hasCapacity = true;
    while (jobs.hasNext() && hasCapacity) {
      FleetJob job = jobs.next();
      Optional<ServerLoad> chosen = choose(job, now);
      hasCapacity = chosen.isPresent();
      if (hasCapacity) {
        jobs.remove();
        bound.add(started(job, chosen.get(), now));
      }
    }
  }

  /** Binds every job that has room, also behind jobs that have none. */
  private void bindAllWithRoom(NavigableSet<FleetJob> queue, List<Binding> bound, long now) {
    if (queue.isEmpty()) {
      return;
    }
    FleetJob last = queue.last();
    List<ServerLoad> listed = serversOf(last.service()).toList();
    room(last.service()).startPass(listed, load -> usableSlots(load, now), last, isLarge(now), now);
    JobsWithoutRoom without = new JobsWithoutRoom();
    var jobs = queue.iterator();
    while (jobs.hasNext()) {
      FleetJob job = jobs.next();
      Optional<ServerLoad> chosen = without.covers(job) ? Optional.empty() : choose(job, now);
      if (chosen.isPresent()) {
        jobs.remove();
        room(job.service()).started(job, chosen.get().uncachedTokens(job.prompt()), now);
        bound.add(started(job, chosen.get(), now));
      } else {
        without.add(job);
      }
    }
  }

  private Binding started(FleetJob job, ServerLoad load, long now) {
    Optional<GatewayServer> copyFrom = selection.copyFrom(job, load, serversOf(job.service()));
    load.started(job, now);
    warmUp.sent(load.server().id(), now);
    running.put(job.id(), load);
    return new Binding(job, load.server(), copyFrom, expectedPrefillNanos(load, now));
  }

  /**
   * Binds a job to a server with a free slot that is not in backoff, or returns empty if there is
   * none, if jobs of the service wait, or if the prefill would take too long.
   */
  public Optional<Binding> bindNow(FleetJob job, long maxPrefillNanos, long now) {
    if (!waiting.getOrDefault(job.service(), NO_JOBS).isEmpty()) {
      return Optional.empty();
    }
    return choose(job, now)
        .filter(load -> !load.isBackingOff(now) && load.total(now) < slots(load))
        .filter(
            load ->
                prefillRate(job.service()).nanosFor(load.prefillTokensWith(job, now))
                    <= maxPrefillNanos)
        .map(load -> started(job, load, now));
  }

  private Optional<ServerLoad> choose(FleetJob job, long now) {
    List<ServerLoad> open =
        serversOf(job.service())
            .filter(load -> !job.avoid().contains(load.server().id()))
            .filter(load -> hasRoom(job, load, now))
            .toList();
    List<ServerLoad> available = open.stream().filter(load -> !load.isBackingOff(now)).toList();
    List<ServerLoad> candidates = available.isEmpty() ? open : available;
    return choose(job, candidates, now);
  }

  private Optional<ServerLoad> choose(FleetJob job, List<ServerLoad> withRoom, long now) {
    List<ServerLoad> listed =
        isProtected(job.service()) ? serversOf(job.service()).toList() : withRoom;
    List<ServerLoad> paced =
        withRoom.stream().filter(load -> warmUp.isPaced(load.server().id(), now)).toList();
    Candidates candidates = new Candidates(withRoom, listed, paced);
    PrefillRate rate = prefillRate(job.service());
    return usesSpeeds(job.service(), now)
        ? selection.chooseBySpeed(job, candidates, rate, isLarge(now), now)
        : selection.choose(job, candidates, rate, isLarge(now), now);
  }

  /** Only model engines have a prefill that urgent requests wait for. */
  private boolean isProtected(ServiceName service) {
    return protection.enabled()
        && Optional.ofNullable(specs.get(service)).flatMap(ServiceSpec::engine).isPresent();
  }

  private boolean hasRoom(FleetJob job, ServerLoad load, long now) {
    return isProtected(job.service())
        ? room(job.service()).admits(job, load, usableSlots(load, now), now)
        : load.total(now) < capacity(load, now);
  }

  private long expectedPrefillNanos(ServerLoad load, long now) {
    long atUsualSpeed =
        prefillRate(load.server().service()).nanosFor(load.pendingPrefillTokens(now));
    return speeds.isOn(load.server().service())
        ? (long) (atUsualSpeed / load.speed().now(now))
        : atUsualSpeed;
  }

  private PrefillRate prefillRate(ServiceName service) {
    return prefillRates.computeIfAbsent(service, name -> new PrefillRate());
  }

  /**
   * Returns whether servers are compared by speed. While the sums of a large fleet are lost they
   * are not: entries that do not see each other's load would all select the fastest servers.
   */
  private boolean usesSpeeds(ServiceName service, long now) {
    boolean areSumsLost = aggregateLoadAt != Long.MIN_VALUE / 2 && !isLarge(now);
    return speeds.isOn(service) && !areSumsLost;
  }

  private boolean isLarge(long now) {
    return now - aggregateLoadAt < AGGREGATE_LOAD_EXPIRY_NANOS;
  }

  private Stream<ServerLoad> serversOf(ServiceName service) {
    return servers.values().stream()
        .filter(load -> load.server().service().equals(service) && !isLeaving(load.server()));
  }

  private boolean isLeaving(GatewayServer server) {
    return server.leaving()
        || evacuated.contains(server.failureDomain())
        || notices.isLeaving(server.id());
  }

  private int capacity(ServerLoad load, long now) {
    int usable = usableSlots(load, now);
    return isLarge(now) ? usable * LARGE_FLEET_CAPACITY_FACTOR : usable;
  }

  private int usableSlots(ServerLoad load, long now) {
    BackendServerId id = load.server().id();
    return Math.min(
        notices.usableSlots(id, slots(load), now), warmUp.usableSlots(id, slots(load), now));
  }

  /**
   * Returns when the first server of a service takes requests again, or empty unless all of them
   * have asked for a pause.
   */
  public OptionalLong pausedUntil(ServiceName service, long now) {
    return notices.earliestEnd(serversOf(service).map(load -> load.server().id()).toList(), now);
  }

  private static int slots(ServerLoad load) {
    return load.server().slots() > 0 ? load.server().slots() : DEFAULT_SLOTS;
  }

  /** Records the first event of a job's answer. */
  public void firstEventReceived(RequestId id, long now) {
    Optional.ofNullable(running.get(id))
        .ifPresent(load -> load.firstEventReceived(id, prefillRate(load.server().service()), now));
  }

  /** Records the end of a job's attempt; an unknown job is ignored. */
  public void ended(RequestId id, AttemptResult end, long now) {
    Optional.ofNullable(running.remove(id))
        .ifPresent(
            load -> {
              speeds.ended(load, id, end, now);
              load.ended(id, end, now);
              warmUp.ended(load.server().id(), end, now);
              room(load.server().service()).ended();
            });
  }

  /** Records what a server reports of itself; returns whether it switches its service to speeds. */
  public boolean reported(BackendServerId server, ServerReport report, long now) {
    return Optional.ofNullable(servers.get(server))
        .filter(load -> speeds.reported(load, report, now))
        .isPresent();
  }

  /** Records that a job's stream is complete; must be called before {@link #ended}. */
  public void streamed(RequestId id, int events, long now) {
    Optional.ofNullable(running.get(id))
        .ifPresent(load -> speeds.streamed(load, id, events - 1, now));
  }

  /** Returns the samples of server speeds that the next poll of the leader carries. */
  public List<SpeedAt> nextSpeeds() {
    return speeds.nextShared(servers.values());
  }

  /** Updates the sums of the samples of all entries. */
  public void updateSpeeds(List<SpeedAt> sums, long now) {
    speeds.update(servers.values(), sums, now);
  }

  /** Returns the ratio of the fastest server to the slowest, 1 while no speeds are measured. */
  public double speedSpread() {
    return speeds.spread(servers.values());
  }

  /** Removes a waiting job; returns whether it was still waiting. */
  public boolean cancelWaiting(FleetJob job) {
    return Optional.ofNullable(waiting.get(job.service())).filter(q -> q.remove(job)).isPresent();
  }

  /** Replaces what another entry has in flight. */
  public void peerDigest(String peer, List<InFlightAt> inFlight, long now) {
    Map<Integer, InFlightAt> byTag =
        inFlight.stream()
            .collect(
                Collectors.toMap(InFlightAt::server, Function.identity(), (one, other) -> one));
    servers.forEach(
        (id, load) ->
            load.updatePeer(peer, Optional.ofNullable(byTag.get(InFlightAt.tag(id))), now));
  }

  /** Replaces the sum of what all other entries have in flight, in a fleet of many entries. */
  public void updateAggregateLoad(List<InFlightAt> inFlight, long now) {
    aggregateLoadAt = now;
    rooms.values().forEach(room -> room.sumArrived(now));
    peerDigest(ALL_OTHER_ENTRIES, inFlight, now);
  }

  /** Returns what this entry has in flight at each backend server that has any. */
  public List<InFlightAt> digest() {
    return servers.values().stream()
        .filter(load -> load.own() > 0)
        .map(
            load ->
                new InFlightAt(
                    InFlightAt.tag(load.server().id()),
                    load.own(),
                    load.ownPendingPrefillTokens(),
                    load.ownHeldTokens()))
        .toList();
  }

  /** Returns the number of jobs that overload protection makes wait; 0 without it. */
  public int heldBackCount() {
    return protection.enabled() ? waiting.values().stream().mapToInt(TreeSet::size).sum() : 0;
  }

  /** Returns the number of waiting and running jobs for each service. */
  public List<ServiceLoad> loads() {
    Map<ServiceName, Integer> counts = new TreeMap<>();
    waiting.forEach((service, queue) -> counts.merge(service, queue.size(), Integer::sum));
    running.values().forEach(load -> counts.merge(load.server().service(), 1, Integer::sum));
    return counts.entrySet().stream()
        .map(entry -> new ServiceLoad(entry.getKey(), entry.getValue()))
        .toList();
  }
}
