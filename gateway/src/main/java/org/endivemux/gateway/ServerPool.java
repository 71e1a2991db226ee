package org.endivemux.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.routing.LoadDigests;
import org.endivemux.routing.fleet.AttemptResult;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.FleetScheduler.Binding;
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
  private static final long MIN_RETRY_AFTER_MILLIS = 250;
  private static final long RETRY_AFTER_SPREAD_MILLIS = 750;

  private final Object lock = new Object();
  private final FleetScheduler scheduler;
  private final LongSupplier nanos;
  private final Scheduler timers;
  private final Map<RequestId, Sinks.One<Binding>> waiting = new HashMap<>();

  public ServerPool(FleetScheduler scheduler, LongSupplier nanos, Scheduler timers) {
    this.scheduler = scheduler;
    this.nanos = nanos;
    this.timers = timers;
  }

  /** Replaces the declared services. */
  public void configure(GatewayConfig config) {
    synchronized (lock) {
      scheduler.updateServices(config.services());
    }
    bind();
  }

  /** Replaces the list of backend servers. */
  public void updateServers(List<GatewayServer> servers) {
    synchronized (lock) {
      scheduler.updateServers(servers);
    }
    bind();
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
          Duration maxWait = Duration.ofNanos(Math.max(0, job.waitDeadline() - nanos.getAsLong()));
          return sink.asMono()
              .doOnCancel(() -> withdraw(job))
              .timeout(maxWait, Mono.error(() -> tooLate(job)), timers);
        });
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

  /** Records the first event of a response. */
  void answered(RequestId id) {
    synchronized (lock) {
      scheduler.firstEventReceived(id, nanos.getAsLong());
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
    synchronized (lock) {
      bound = scheduler.bind(nanos.getAsLong());
    }
    bound.forEach(this::deliver);
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
