package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.routing.fleet.AttemptResult;
import org.endivemux.routing.fleet.Binding;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.routing.fleet.HedgePolicy;
import org.endivemux.wire.SendMarker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Starts second attempts for requests that are late, within the limits of an entry.
 *
 * <p>Invariants: without a policy nothing is hedged; a hedge takes one unit of the policy's budget
 * and one repeat of the service; only a request that may run on a further server is hedged.
 * Thread-safe.
 */
final class Hedges {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Optional<HedgePolicy> policy;
  private final ServerPool pool;
  private final ServiceRetryAllowances retries;
  private final GatewayCounters counters;
  private final LongSupplier nanos;
  private final Scheduler timers;

  Hedges(
      Optional<HedgePolicy> policy,
      ServerPool pool,
      ServiceRetryAllowances retries,
      GatewayCounters counters,
      LongSupplier nanos,
      Scheduler timers) {
    this.policy = policy;
    this.pool = pool;
    this.retries = retries;
    this.counters = counters;
    this.nanos = nanos;
    this.timers = timers;
  }

  /** Records a new request, which adds to the budget. */
  synchronized void requested() {
    policy.ifPresent(HedgePolicy::requested);
  }

  /**
   * Runs an attempt at a bound server, and a second one beside it when hedging applies and the
   * first one is late.
   *
   * @param nextJob makes the job of the second attempt
   * @param send runs an attempt at a bound server and frees its slot at the end
   * @param marker holds the marker of the first attempt; is set to that of the attempt whose error
   *     ends the response
   * @param markers makes the marker of the second attempt
   */
  Flux<ResponsePart> run(
      AdmittedRequest request,
      Progress progress,
      Binding binding,
      Supplier<FleetJob> nextJob,
      BiFunction<Binding, SendMarker, Flux<ResponsePart>> send,
      AtomicReference<SendMarker> marker,
      Supplier<SendMarker> markers) {
    return applyTo(request, progress)
        ? new HedgedAttempt(request, progress, this, nextJob, send, marker, markers.get())
            .run(binding)
        : send.apply(binding, marker.get());
  }

  /**
   * Returns whether the next attempt may be hedged: the first one of a request that may run on two
   * servers. A stream that the caller resumes may end without a new event, which would look like a
   * failure.
   */
  private boolean applyTo(AdmittedRequest request, Progress progress) {
    HostRoute route = request.route();
    return policy.isPresent()
        && route.repeatable()
        && route.maxServers() >= 2
        && progress.attempts() == 0
        && request.head().resumeAfter().isEmpty();
  }

  /** Returns after how many nanoseconds a request of a route is late; empty if not known yet. */
  synchronized OptionalLong delayNanos(HostRoute route) {
    return policy.map(some -> some.delayNanos(route.name())).orElse(OptionalLong.empty());
  }

  /** See {@link HedgePolicy#recordFirstByte}. */
  synchronized void recordFirstByte(HostRoute route, long tookNanos, boolean isLate) {
    policy.ifPresent(some -> some.recordFirstByte(route.name(), tookNanos, isLate));
  }

  long now() {
    return nanos.getAsLong();
  }

  /** Completes after a delay. */
  Mono<Long> after(long delayNanos) {
    return Mono.delay(Duration.ofNanos(delayNanos), timers);
  }

  /**
   * Binds a second server for a request that is late, or returns empty if it must wait for the
   * first one alone.
   *
   * @param job makes the job of the second attempt, which avoids the first server
   */
  Optional<Binding> tryStart(AdmittedRequest request, Supplier<FleetJob> job, long delayNanos) {
    HedgePolicy.Decision decision = decideLate(request.route());
    if (decision != HedgePolicy.Decision.ALLOWED) {
      return refused(
          request,
          decision == HedgePolicy.Decision.ALL_SLOW
              ? HedgeOutcome.ALL_SLOW
              : HedgeOutcome.OVER_BUDGET);
    }
    if (request.deadline() - now() <= delayNanos) {
      return refused(request, HedgeOutcome.TOO_LATE);
    }
    Optional<Binding> binding = pool.tryAcquire(job.get(), Duration.ofNanos(delayNanos));
    if (binding.isEmpty()) {
      return refused(request, HedgeOutcome.NO_FASTER_SERVER);
    }
    Optional<HedgeOutcome> lack = takeUnits(request);
    if (lack.isPresent()) {
      pool.release(binding.get().job().id(), AttemptResult.CANCELLED);
      return refused(request, lack.get());
    }
    logger.atInfo().log(
        "event=hedge_sent request=%s route=%s backend=%s delayMillis=%d",
        request.head().id(),
        request.route().name(),
        binding.get().server().id(),
        delayNanos / NANOS_PER_MILLI);
    counters.hedged(HedgeOutcome.SENT);
    return binding;
  }

  private synchronized HedgePolicy.Decision decideLate(HostRoute route) {
    return policy.orElseThrow().late(route.name());
  }

  /** Takes a repeat and a unit of the budget; returns what is lacking. */
  private synchronized Optional<HedgeOutcome> takeUnits(AdmittedRequest request) {
    if (!retries.tryRepeat(request.service())) {
      return Optional.of(HedgeOutcome.NO_REPEAT_LEFT);
    }
    return policy.orElseThrow().tryTake()
        ? Optional.empty()
        : Optional.of(HedgeOutcome.OVER_BUDGET);
  }

  private Optional<Binding> refused(AdmittedRequest request, HedgeOutcome reason) {
    counters.hedged(reason);
    logger.atInfo().log(
        "event=hedge_refused request=%s route=%s reason=%s",
        request.head().id(), request.route().name(), reason);
    return Optional.empty();
  }

  /** Counts and logs how a second attempt ended. */
  void ended(AdmittedRequest request, HedgeOutcome outcome, long tookNanos) {
    counters.hedged(outcome);
    logger.atInfo().log(
        "event=hedge_ended request=%s route=%s outcome=%s afterMillis=%d",
        request.head().id(), request.route().name(), outcome, tookNanos / NANOS_PER_MILLI);
  }
}
