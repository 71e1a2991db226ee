package org.endivemux.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.DeclarationIndex;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.routing.Assignment;
import org.endivemux.routing.Job;
import org.endivemux.routing.LoadDigests;
import org.endivemux.routing.Observation;
import org.endivemux.routing.Refusal;
import org.endivemux.routing.Scheduler;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Queues requests until the scheduler assigns a backend server to them or refuses them.
 *
 * <p>Invariants: the scheduler is only used under the lock; each waiting request gets exactly one
 * result, which is emitted outside the lock. Thread-safe.
 */
public final class Dispatcher implements LoadDigests, AutoCloseable {
  private static final Duration SCHEDULING_INTERVAL = Duration.ofMillis(20);

  private final Object lock = new Object();
  private final Scheduler scheduler;
  private final LongSupplier nanos;
  private final Map<RequestId, Sinks.One<Assignment>> waiting = new HashMap<>();
  private volatile Disposable scheduling = () -> {};

  public Dispatcher(Scheduler scheduler, LongSupplier nanos) {
    this.scheduler = scheduler;
    this.nanos = nanos;
  }

  /** Starts the periodic rounds that expire requests and assign waiting ones; returns at once. */
  public Dispatcher start() {
    scheduling =
        Flux.interval(SCHEDULING_INTERVAL).onBackpressureDrop().subscribe(tick -> runRound());
    return this;
  }

  private void runRound() {
    List<Refusal> expired;
    synchronized (lock) {
      expired = scheduler.expire(nanos.getAsLong());
    }
    expired.forEach(this::refuse);
    assign();
  }

  /** Applies a configuration. */
  public void configure(DeclarationIndex declared, Predicate<BackendServerId> leaving) {
    synchronized (lock) {
      scheduler.configure(declared, leaving);
    }
    assign();
  }

  /** Waits for an assignment to a backend server; fails with {@link RefusedException}. */
  public Mono<Assignment> acquire(Job job) {
    return Mono.defer(
        () -> {
          Sinks.One<Assignment> sink = Sinks.one();
          Optional<Refusal> refusal;
          synchronized (lock) {
            refusal = scheduler.offer(job, nanos.getAsLong());
            if (refusal.isEmpty()) {
              waiting.put(job.id(), sink);
            }
          }
          if (refusal.isPresent()) {
            return Mono.error(toException(refusal.get()));
          }
          assign();
          return sink.asMono().doOnCancel(() -> cancel(job));
        });
  }

  /** Releases the slot of an attempt and records its result; an unknown id is ignored. */
  public void release(RequestId id, Observation observation) {
    synchronized (lock) {
      scheduler.finished(id, observation, nanos.getAsLong());
    }
    assign();
  }

  private void cancel(Job job) {
    boolean wasWaiting;
    synchronized (lock) {
      wasWaiting = waiting.remove(job.id()) != null;
      scheduler.cancel(job);
    }
    if (!wasWaiting) {
      release(job.id(), new Observation(Observation.Result.CANCELLED, 0, 0, 0));
    }
  }

  private void assign() {
    List<Assignment> assignments;
    synchronized (lock) {
      assignments = scheduler.assign(nanos.getAsLong());
    }
    assignments.forEach(this::deliver);
  }

  private void deliver(Assignment assignment) {
    Sinks.One<Assignment> sink = removeWaiting(assignment.job().id());
    if (sink == null) {
      release(assignment.job().id(), new Observation(Observation.Result.CANCELLED, 0, 0, 0));
    } else {
      sink.tryEmitValue(assignment);
    }
  }

  private void refuse(Refusal refusal) {
    Sinks.One<Assignment> sink = removeWaiting(refusal.job().id());
    if (sink != null) {
      sink.tryEmitError(toException(refusal));
    }
  }

  private Sinks.One<Assignment> removeWaiting(RequestId id) {
    synchronized (lock) {
      return waiting.remove(id);
    }
  }

  private static RefusedException toException(Refusal refusal) {
    return refusal.reason().retryAfterSeconds() > 0
        ? RefusedException.retryAfterMillis(refusal.reason(), refusal.retryAfterMillis())
        : new RefusedException(refusal.reason());
  }

  @Override
  public void peerDigest(String peer, List<InFlightAt> inFlight) {
    synchronized (lock) {
      scheduler.peerDigest(peer, inFlight, nanos.getAsLong());
    }
    assign();
  }

  @Override
  public List<InFlightAt> digest() {
    synchronized (lock) {
      return scheduler.digest();
    }
  }

  /** Returns the number of waiting requests. */
  public int waitingCount() {
    synchronized (lock) {
      return scheduler.waiting();
    }
  }

  @Override
  public void close() {
    scheduling.dispose();
  }
}
