package org.endivemux.routing.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
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
 * is paused, is in an evacuated domain or that the job avoids gets nothing, and one in backoff gets
 * nothing while another has capacity; a job that continues a stream goes only to servers of the
 * version that began it, and only such a job goes to a server that leaves, while {@link
 * ServerDrains} allows it and no other server may run it; a cold one gets what {@link WarmUpLimit}
 * allows, and one that has stated a limit what {@link StatedLimits} allows; waiting jobs are bound
 * by urgency, then, under overload protection, by fair shares of the organisations, and then by
 * arrival. Not thread-safe: one caller at a time.
 */
public final class FleetScheduler {
  private final ServerNotices notices;
  private final WarmUpLimit warmUp;
  private final StatedLimits statedLimits;
  private final FleetServers servers;
  private final ServerDrains drains;
  private final SlotLimits limits;
  private final ServerChooser chooser;
  private final EngineAdmissions admissions;
  private final WaitingJobs waiting;
  private final Map<RequestId, ServerLoad> running = new HashMap<>();
  private final ServiceSpeeds speeds = new ServiceSpeeds();

  /** Creates a scheduler for servers without a warm-up, without overload protection. */
  public FleetScheduler(FailureDomain domain, ServerNotices notices) {
    this(domain, notices, Duration.ZERO);
  }

  /**
   * Creates a scheduler for servers without a warm-up, without overload protection.
   *
   * @param serverDrain how long a server serves after it is first listed as leaving
   */
  public FleetScheduler(FailureDomain domain, ServerNotices notices, Duration serverDrain) {
    this(
        domain,
        notices,
        serverDrain,
        WarmUpLimit.withoutEntries(),
        StatedLimits.withoutEntries(),
        OverloadProtection.off());
  }

  /** Creates a scheduler that sends nothing to servers that have stated a limit. */
  public FleetScheduler(
      FailureDomain domain,
      ServerNotices notices,
      WarmUpLimit warmUp,
      OverloadProtection protection) {
    this(domain, notices, Duration.ZERO, warmUp, StatedLimits.withoutEntries(), protection);
  }

  /**
   * Creates a scheduler; {@code warmUp} and {@code statedLimits} are used by no other one.
   *
   * @param serverDrain how long a server serves after it is first listed as leaving
   */
  public FleetScheduler(
      FailureDomain domain,
      ServerNotices notices,
      Duration serverDrain,
      WarmUpLimit warmUp,
      StatedLimits statedLimits,
      OverloadProtection protection) {
    this.notices = notices;
    this.warmUp = warmUp;
    this.statedLimits = statedLimits;
    this.drains = new ServerDrains(serverDrain, notices);
    this.servers = new FleetServers(notices, drains);
    this.limits = new SlotLimits(notices, warmUp, statedLimits);
    this.chooser = new ServerChooser(domain, servers, limits, warmUp, speeds, protection);
    this.admissions = chooser.admissions();
    this.waiting = new WaitingJobs(admissions::isOn);
  }

  /** Replaces the strictest target of each urgency at each service, in nanoseconds. */
  public void updateTargets(Map<ServiceName, NavigableMap<Integer, Long>> strictest) {
    admissions.updateTargets(strictest);
  }

  /** Replaces the declared services. */
  public void updateServices(List<ServiceSpec> declared) {
    servers.updateServices(declared);
    warmUp.updateServices(declared);
    admissions.updateServices(declared);
  }

  /**
   * Replaces the list of backend servers, some of which may be cold.
   *
   * @param trueMillis true time at {@code now}, in Unix milliseconds
   */
  public void updateServers(List<GatewayServer> listed, long now, long trueMillis) {
    warmUp.updateServers(listed, now, trueMillis);
    drains.updateServers(listed, now, trueMillis);
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

  /** Returns the servers with a warm-up that lately refused connections of this entry. */
  public List<BackendServerId> refusing(long now) {
    return warmUp.refusing(now);
  }

  /** Returns the number of servers that are treated as cold. */
  public int coldCount(long now) {
    return warmUp.coldCount(now);
  }

  /** Returns whether jobs wait that the passing of time alone may bind, or leave no server. */
  public boolean awaitsTime(long now) {
    return !waiting.isEmpty()
        && (warmUp.isWarmingUp(now) || statedLimits.isLimiting() || waiting.hasAnyOfOneVersion());
  }

  /**
   * Records the rate limit that a response states; returns whether it differs from the one before.
   *
   * @param requestsPerSecond limit for all entries together, empty if the response states none
   * @param sentAt when the request was sent, in monotonic nanoseconds
   */
  public boolean limitStated(
      BackendServerId server, OptionalDouble requestsPerSecond, long sentAt, long now) {
    return statedLimits.stated(server, requestsPerSecond, sentAt, now);
  }

  /** Returns the number of servers that have stated a limit. */
  public int limitedCount() {
    return statedLimits.count();
  }

  /** Replaces the list of backend servers; one that is no longer listed gets no new work. */
  public void updateServers(List<GatewayServer> listed) {
    statedLimits.updateServers(listed);
    chooser.updateServers(listed);
    servers.updateServers(listed);
  }

  /** Replaces the evacuated domains, whose servers get no new request and are not copied from. */
  public void updateEvacuated(Set<FailureDomain> domains) {
    servers.updateEvacuated(domains);
  }

  /**
   * Removes and returns the waiting jobs of services whose servers are all evacuated or leaving;
   * without an evacuation there are none. Jobs of one version are left to {@link
   * #removeWithoutVersion}.
   */
  public List<FleetJob> removeEvacuated() {
    return waiting.removeAll(servers::isEvacuated);
  }

  /**
   * Removes and returns the waiting jobs that only servers of one version may run, of which none is
   * left.
   */
  public List<FleetJob> removeWithoutVersion(long now) {
    return waiting.removeOfOneVersion(job -> !chooser.hasServer(job, now));
  }

  /** Returns whether a server may still get a job that was bound to it. */
  public boolean isOpen(Binding binding, long now) {
    return servers.isOpen(binding.server())
        || (binding.job().continuesStream() && servers.isDrainingAsKnown(binding.server(), now));
  }

  /** Queues a job until {@link #bind} selects its server. */
  public void offer(FleetJob job) {
    waiting.add(job);
    if (admissions.isOn(job.service())) {
      admissions.of(job.service()).offered(job, job.arrivedAt());
    }
  }

  /** Binds as many waiting jobs as the free capacity allows. */
  public List<Binding> bind(long now) {
    List<Binding> bound = new ArrayList<>();
    waiting.queues().forEach(queue -> bind(queue, bound, now));
    return bound;
  }

  private void bind(NavigableSet<FleetJob> queue, List<Binding> bound, long now) {
    if (!queue.isEmpty() && admissions.isOn(queue.first().service())) {
      bindAllWithRoom(queue, bound, now);
      return;
    }
    var jobs = queue.iterator();
    FullVersions fullVersions = new FullVersions();
    boolean hasCapacity = true;
    while (jobs.hasNext() && hasCapacity) {
      FleetJob job = jobs.next();
      if (fullVersions.covers(job)) {
        continue;
      }
      Optional<ServerLoad> chosen = chooser.choose(job, now);
      if (chosen.isPresent()) {
        jobs.remove();
        bound.add(started(job, chosen.get(), now));
      } else {
        // A job that only servers of one version may run says nothing about the others' capacity.
        hasCapacity = job.version().isPresent();
        fullVersions.add(job);
      }
    }
  }

  /** Binds every job that has room, also behind jobs that have none. */
  private void bindAllWithRoom(NavigableSet<FleetJob> queue, List<Binding> bound, long now) {
    FleetJob last = queue.last();
    List<ServerLoad> listed = servers.openServers(last.service()).toList();
    admissions
        .of(last.service())
        .startPass(listed, load -> limits.usableSlots(load, now), last, limits.isLarge(now), now);
    JobsWithoutCapacity without = new JobsWithoutCapacity();
    var jobs = queue.iterator();
    while (jobs.hasNext()) {
      FleetJob job = jobs.next();
      Optional<ServerLoad> chosen =
          without.covers(job) ? Optional.empty() : chooser.choose(job, now);
      if (chosen.isPresent()) {
        jobs.remove();
        admissions.of(job.service()).started(job, chosen.get().uncachedTokens(job.prompt()), now);
        bound.add(started(job, chosen.get(), now));
      } else {
        without.add(job);
      }
    }
  }

  private Binding started(FleetJob job, ServerLoad load, long now) {
    Optional<GatewayServer> copyFrom = chooser.copyFrom(job, load);
    load.started(job, now);
    waiting.started(job);
    warmUp.sent(load.server().id(), now);
    statedLimits.sent(load.server().id(), now);
    running.put(job.id(), load);
    return new Binding(job, load.server(), copyFrom, chooser.expectedPrefillNanos(load, now));
  }

  /**
   * Binds a job to a server with a free slot that is not in backoff, or returns empty if there is
   * none, if jobs of the service wait, or if the prefill would take too long.
   */
  public Optional<Binding> bindNow(FleetJob job, long maxPrefillNanos, long now) {
    if (!waiting.isEmpty(job.service())) {
      return Optional.empty();
    }
    return chooser
        .choose(job, now)
        .filter(load -> servers.isOpen(load.server()))
        .filter(load -> !load.isBackingOff(now) && load.total(now) < SlotLimits.slots(load))
        .filter(
            load ->
                chooser.prefillRate(job.service()).nanosFor(load.prefillTokensWith(job, now))
                    <= maxPrefillNanos)
        .map(load -> started(job, load, now));
  }

  /**
   * Returns when the first server of a service takes requests again, or empty unless all of them
   * have asked for a pause.
   */
  public OptionalLong pausedUntil(ServiceName service, long now) {
    return notices.earliestEnd(
        servers.openServers(service).map(load -> load.server().id()).toList(), now);
  }

  /** Records the first event of a job's answer. */
  public void firstEventReceived(RequestId id, long now) {
    Optional.ofNullable(running.get(id))
        .ifPresent(
            load -> load.firstEventReceived(id, chooser.prefillRate(load.server().service()), now));
  }

  /** Records the end of a job's attempt; an unknown job is ignored. */
  public void ended(RequestId id, AttemptResult end, long now) {
    Optional.ofNullable(running.remove(id))
        .ifPresent(
            load -> {
              speeds.ended(load, id, end, now);
              load.ended(id, end, now);
              warmUp.ended(load.server().id(), end, now);
              admissions.of(load.server().service()).ended();
            });
  }

  /** Records what a server reports of itself; returns whether it switches its service to speeds. */
  public boolean reported(BackendServerId server, ServerReport report, long now) {
    return servers.find(server).filter(load -> speeds.reported(load, report, now)).isPresent();
  }

  /** Records that a job's stream is complete; must be called before {@link #ended}. */
  public void streamed(RequestId id, int events, long now) {
    Optional.ofNullable(running.get(id))
        .ifPresent(load -> speeds.streamed(load, id, events - 1, now));
  }

  /** Returns the samples of server speeds that the next poll of the leader carries. */
  public List<SpeedAt> nextSpeeds() {
    return speeds.nextShared(servers.all());
  }

  /** Updates the sums of the samples of all entries. */
  public void updateSpeeds(List<SpeedAt> sums, long now) {
    speeds.update(servers.all(), sums, now);
  }

  /** Returns the ratio of the fastest server to the slowest, 1 while no speeds are measured. */
  public double speedSpread() {
    return speeds.spread(servers.all());
  }

  /** Removes a waiting job; returns whether it was still waiting. */
  public boolean cancelWaiting(FleetJob job) {
    return waiting.remove(job);
  }

  /** Replaces what another entry has in flight. */
  public void peerDigest(String peer, List<InFlightAt> inFlight, long now) {
    servers.updatePeer(peer, inFlight, now);
  }

  /** Replaces the sum of what all other entries have in flight, in a fleet of many entries. */
  public void updateAggregateLoad(List<InFlightAt> inFlight, long now) {
    limits.aggregateLoadReceived(now);
    admissions.sumArrived(now);
    servers.updateOthers(inFlight, now);
  }

  /** Returns what this entry has in flight at each backend server that has any. */
  public List<InFlightAt> digest() {
    return servers.digest();
  }

  /** Returns the number of jobs that overload protection makes wait; 0 without it. */
  public int heldBackCount() {
    return admissions.isOn() ? waiting.size() : 0;
  }

  /** Returns the number of waiting and running jobs for each service. */
  public List<ServiceLoad> loads() {
    Map<ServiceName, Integer> counts = waiting.sizes();
    running.values().forEach(load -> counts.merge(load.server().service(), 1, Integer::sum));
    return counts.entrySet().stream()
        .map(entry -> new ServiceLoad(entry.getKey(), entry.getValue()))
        .toList();
  }
}
