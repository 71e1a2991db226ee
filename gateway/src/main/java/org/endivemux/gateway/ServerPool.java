package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.routing.LoadDigests;
import org.endivemux.routing.fleet.AttemptResult;
import org.endivemux.routing.fleet.Binding;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.ServerNotices;
import org.endivemux.routing.fleet.WarmUpLimit;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Queues requests until the scheduler binds them to a backend server.
 *
 * <p>Invariants: the scheduler is accessed under one lock; each waiting request gets its result
 * once, outside the lock. Thread-safe.
 */
public final class ServerPool implements LoadDigests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long MIN_RETRY_AFTER_MILLIS = 250;
  private static final long RETRY_AFTER_SPREAD_MILLIS = 750;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How often waiting requests are bound while servers can be used again by time alone. */
  static final Duration RESUMPTION_STEP = Duration.ofMillis(50);

  private final Object lock = new Object();
  private final FleetScheduler scheduler;
  private final ServerFeedback feedback;
  private final ServerFigures figures;
  private final LongSupplier nanos;
  private final Scheduler timers;
  private final Map<RequestId, Sinks.One<Binding>> waiting = new HashMap<>();
  private Set<FailureDomain> evacuated = Set.of();
  private final AtomicBoolean stepPending = new AtomicBoolean();

  /**
   * @param notices what servers have said of themselves; the scheduler reads the same
   */
  public ServerPool(
      FleetScheduler scheduler, ServerNotices notices, LongSupplier nanos, Scheduler timers) {
    this.scheduler = scheduler;
    this.nanos = nanos;
    this.timers = timers;
    this.feedback = new ServerFeedback(lock, scheduler, notices, nanos, timers, this::bind);
    this.figures = new ServerFigures(lock, scheduler, notices, nanos);
  }

  /** Returns what records the events of responses. */
  ServerFeedback feedback() {
    return feedback;
  }

  /** Returns the state of the servers for gauges and polls of the leader. */
  public ServerFigures figures() {
    return figures;
  }

  /** Replaces the declared services. */
  public void configure(GatewayConfig config) {
    synchronized (lock) {
      scheduler.updateServices(config.services());
      scheduler.updateTargets(StrictestTargets.of(config, Urgencies.of(config)));
    }
    bind();
  }

  /**
   * Replaces the list of backend servers.
   *
   * @param trueMillis true time now, in Unix milliseconds
   */
  public void updateServers(List<GatewayServer> servers, long trueMillis) {
    synchronized (lock) {
      scheduler.updateServers(servers, nanos.getAsLong(), trueMillis);
    }
    bind();
  }

  /** Replaces the evacuated failure domains, whose servers get no new requests. */
  public void updateEvacuated(Set<FailureDomain> domains) {
    Set<FailureDomain> ended;
    synchronized (lock) {
      if (domains.equals(evacuated)) {
        return;
      }
      ended = new HashSet<>(evacuated);
      ended.removeAll(domains);
      evacuated = Set.copyOf(domains);
      scheduler.updateEvacuated(evacuated);
      ended.forEach(domain -> scheduler.evacuationEnded(domain, nanos.getAsLong()));
    }
    logger.atInfo().log("event=evacuation_applied evacuated=%s ended=%s", domains, ended);
    bind();
  }

  /** Returns the number of evacuated failure domains. */
  public int evacuatedCount() {
    synchronized (lock) {
      return evacuated.size();
    }
  }

  /** Waits for a backend server; fails with {@link GatewayRefusal}. */
  Mono<Binding> acquire(FleetJob job) {
    return Mono.defer(
        () -> {
          Sinks.One<Binding> sink = Sinks.one();
          synchronized (lock) {
            waiting.put(job.id(), sink);
            scheduler.offer(job);
          }
          bind();
          OptionalLong pauseEnd = pauseEndAfter(job);
          if (pauseEnd.isPresent()) {
            withdraw(job);
            return Mono.error(refusedUntil(job, pauseEnd.getAsLong()));
          }
          Duration maxWait = Duration.ofNanos(Math.max(0, job.waitDeadline() - nanos.getAsLong()));
          return sink.asMono()
              .doOnCancel(() -> withdraw(job))
              .timeout(maxWait, Mono.error(() -> tooLate(job)), timers);
        });
  }

  /**
   * Binds a job to a backend server without waiting; empty if there is none with a free slot, if
   * requests of the service wait, or if the prefill would take too long.
   */
  Optional<Binding> tryAcquire(FleetJob job, Duration maxPrefill) {
    synchronized (lock) {
      return scheduler.bindNow(job, maxPrefill.toNanos(), nanos.getAsLong());
    }
  }

  /**
   * Returns whether the server of a binding may still get the job: since it was bound, the server
   * may have left or its domain been evacuated.
   */
  boolean isOpen(Binding binding) {
    synchronized (lock) {
      return scheduler.isOpen(binding, nanos.getAsLong());
    }
  }

  /** Returns when servers take requests again, if a job that still waits would be too late then. */
  private OptionalLong pauseEndAfter(FleetJob job) {
    synchronized (lock) {
      OptionalLong end =
          waiting.containsKey(job.id())
              ? scheduler.pausedUntil(job.service(), nanos.getAsLong())
              : OptionalLong.empty();
      return end.isPresent() && end.getAsLong() > job.waitDeadline() ? end : OptionalLong.empty();
    }
  }

  private GatewayRefusal refusedUntil(FleetJob job, long pauseEnd) {
    long millis = (pauseEnd - nanos.getAsLong()) / NANOS_PER_MILLI;
    return new GatewayRefusal(Reason.TOO_LATE, Math.max(0, millis) + retryAfterMillis(job.id()));
  }

  /** Updates the sums of the samples of all entries. */
  public void updateSpeeds(List<SpeedAt> sums) {
    synchronized (lock) {
      scheduler.updateSpeeds(sums, nanos.getAsLong());
    }
  }

  private static GatewayRefusal tooLate(FleetJob job) {
    return new GatewayRefusal(Reason.TOO_LATE, retryAfterMillis(job.id()));
  }

  /** Returns a retry delay that differs between requests, so that their retries are spread out. */
  static long retryAfterMillis(RequestId id) {
    return MIN_RETRY_AFTER_MILLIS + Math.floorMod(id.hashCode() * 31L, RETRY_AFTER_SPREAD_MILLIS);
  }

  /** Returns the number of waiting and running requests for each service. */
  public List<ServiceLoad> loads() {
    synchronized (lock) {
      return scheduler.loads();
    }
  }

  /** Removes a job whose caller left or whose maximum wait has passed. */
  private void withdraw(FleetJob job) {
    boolean bound;
    synchronized (lock) {
      waiting.remove(job.id());
      bound = !scheduler.cancelWaiting(job);
    }
    if (bound) {
      release(job.id(), AttemptResult.CANCELLED);
    }
  }

  /** Frees the slot of an attempt; an unknown id is ignored. */
  void release(RequestId id, AttemptResult end) {
    synchronized (lock) {
      scheduler.ended(id, end, nanos.getAsLong());
    }
    bind();
  }

  private void bind() {
    List<Binding> bound;
    List<WarmUpLimit.Decision> decisions;
    List<FleetJob> unserved;
    List<FleetJob> withoutVersion;
    boolean awaitsTime;
    int heldBack;
    synchronized (lock) {
      long now = nanos.getAsLong();
      bound = scheduler.bind(now);
      unserved = scheduler.removeEvacuated();
      withoutVersion = scheduler.removeWithoutVersion(now);
      decisions = scheduler.takeWarmUpDecisions();
      awaitsTime = scheduler.awaitsTime(now);
      heldBack = scheduler.heldBackCount();
    }
    decisions.forEach(ServerPool::log);
    if (heldBack > 0) {
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log("event=held_back requests=%d", heldBack);
    }
    if (awaitsTime && stepPending.compareAndSet(false, true)) {
      var unused = Mono.delay(RESUMPTION_STEP, timers).subscribe(step -> bindAfterStep());
    }
    bound.forEach(this::deliver);
    unserved.forEach(job -> refuse(job, Reason.NO_CAPACITY));
    withoutVersion.forEach(job -> refuse(job, Reason.STREAM_VERSION_GONE));
  }

  private void refuse(FleetJob job, Reason reason) {
    Sinks.One<Binding> sink;
    synchronized (lock) {
      sink = waiting.remove(job.id());
    }
    if (sink != null) {
      sink.tryEmitError(new GatewayRefusal(reason, retryAfterMillis(job.id())));
    }
  }

  private void bindAfterStep() {
    stepPending.set(false);
    bind();
  }

  private static void log(WarmUpLimit.Decision decision) {
    logger.atInfo().log(
        "event=server_cold backend=%s cause=%s millis=%d",
        decision.server(), decision.cause(), decision.nanos() / NANOS_PER_MILLI);
  }

  private void deliver(Binding binding) {
    Sinks.One<Binding> sink;
    synchronized (lock) {
      sink = waiting.remove(binding.job().id());
    }
    if (sink == null) {
      release(binding.job().id(), AttemptResult.CANCELLED);
    } else {
      sink.tryEmitValue(binding);
    }
  }

  @Override
  public void peerDigest(String peer, List<InFlightAt> inFlight) {
    synchronized (lock) {
      scheduler.peerDigest(peer, inFlight, nanos.getAsLong());
    }
    bind();
  }

  /** Updates what all other entries together have in flight, in a fleet of many entries. */
  public void updateFleetLoad(List<InFlightAt> inFlight) {
    synchronized (lock) {
      scheduler.updateAggregateLoad(inFlight, nanos.getAsLong());
    }
    bind();
  }

  @Override
  public List<InFlightAt> digest() {
    synchronized (lock) {
      return scheduler.digest();
    }
  }
}
