package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.StreamVersionLookup;
import org.endivemux.gateway.BackendPort.Call;
import org.endivemux.gateway.EventLoopStall.SendCheck;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.RetryReason;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.routing.RetryPolicy;
import org.endivemux.routing.RetryPolicy.FailedAttempt;
import org.endivemux.routing.fleet.AttemptResult;
import org.endivemux.routing.fleet.Binding;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.routing.fleet.HedgePolicy;
import org.endivemux.routing.fleet.PromptShape;
import org.endivemux.wire.EarlyEnd;
import org.endivemux.wire.SendMarker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Sends a request to a backend server, and to another one after a failure when that is safe.
 *
 * <p>Invariants: a request that must not be repeated is sent again only when the previous attempt
 * certainly did not run; an attempt counts as not sent only after it was abandoned, so that it can
 * not be sent any more; a refusal states "not run" only when no attempt can have run; a resumed
 * stream continues after the last event that the caller has received. Thread-safe.
 */
final class Relay {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** With less time left than this, no further attempt starts. */
  private static final long MIN_TIME_LEFT_NANOS = 60 * NANOS_PER_MILLI;

  /** Longest wait for a free slot before a request is refused, as a fraction of the target. */
  private static final double MAX_WAIT_TARGETS = 0.75;

  private final ServerPool pool;
  private final BackendPort backends;
  private final ResponseReader reader;
  private final StreamResumptions resumptions;
  private final CrashWatch crashes;
  private final GatewayCounters counters;
  private final Supplier<RouteTable> table;
  private final IntSupplier entries;
  private final ServiceRetryAllowances retries;
  private final Hedges hedges;
  private final AttemptTimeouts timeouts;
  private final PlannedStop stop;
  private final EventLoopStall stall;
  private final LongSupplier nanos;
  private final Scheduler timers;
  private final AtomicLong attemptIds = new AtomicLong();

  Relay(
      ServerPool pool,
      BackendPort backends,
      GatewaySyncState syncState,
      StreamVersionLookup versions,
      CrashWatch crashes,
      GatewayCounters counters,
      Supplier<RouteTable> table,
      IntSupplier entries,
      ServiceRetryAllowances retries,
      Optional<HedgePolicy> hedgePolicy,
      PlannedStop stop,
      EventLoopStall stall,
      LongSupplier nanos,
      Scheduler timers) {
    this.pool = pool;
    this.backends = backends;
    this.reader = new ResponseReader(pool, syncState, versions.ledger(), nanos);
    this.resumptions = new StreamResumptions(versions);
    this.crashes = crashes;
    this.counters = counters;
    this.table = table;
    this.entries = entries;
    this.retries = retries;
    this.hedges = new Hedges(hedgePolicy, pool, retries, counters, nanos, timers);
    this.timeouts = new AttemptTimeouts(retries, nanos, timers);
    this.stop = stop;
    this.stall = stall;
    this.nanos = nanos;
    this.timers = timers;
  }

  /** Runs a request to completion; fails with {@link GatewayRefusal}. */
  Flux<ResponsePart> run(AdmittedRequest request, byte[] body) {
    Progress progress = new Progress(request.head().resumeAfter());
    retries.requested(request.service());
    hedges.requested();
    Duration timeLeft = Duration.ofNanos(Math.max(0, request.deadline() - nanos.getAsLong()));
    return EarlyEnd.failOn(
            resumptions.findOrigin(request, progress).thenMany(attempt(request, body, progress)),
            Mono.firstWithSignal(Mono.delay(timeLeft, timers).then(), stop.ended())
                .then(Mono.fromSupplier(TimeoutException::new)))
        .onErrorResume(error -> finalResponse(request, progress, error));
  }

  private Flux<ResponsePart> attempt(AdmittedRequest request, byte[] body, Progress progress) {
    return Flux.defer(
        () -> {
          if (isTooLate(request, progress)) {
            return Flux.error(tooLate(request));
          }
          if (progress.origin().filter(origin -> origin.version().isEmpty()).isPresent()) {
            return Flux.error(GatewayRefusal.of(Reason.STREAM_VERSION_GONE));
          }
          FleetJob job = job(request, progress);
          SendCheck check = stall.newSendCheck();
          Supplier<SendMarker> markers = () -> new SendMarker(check::isSteady);
          AtomicReference<SendMarker> marker = new AtomicReference<>(markers.get());
          return pool.acquire(job)
              .delayUntil(binding -> check.pendingReads().doOnCancel(() -> cancel(job.id())))
              .flatMapMany(
                  binding ->
                      pool.isOpen(binding)
                          ? hedges.run(
                              request,
                              progress,
                              binding,
                              () -> job(request, progress),
                              (server, sent) -> send(request, body, progress, server, sent),
                              marker,
                              markers)
                          : bindAgain(request, body, progress, binding))
              .onErrorResume(error -> retryOrFail(request, body, progress, marker.get(), error));
        });
  }

  /** Chooses another server for an attempt whose server closed before anything was sent to it. */
  private Flux<ResponsePart> bindAgain(
      AdmittedRequest request, byte[] body, Progress progress, Binding closed) {
    cancel(closed.job().id());
    logger.atInfo().log(
        "event=bound_again request=%s backend=%s", request.head().id(), closed.server().id());
    return attempt(request, body, progress);
  }

  private void cancel(RequestId id) {
    pool.release(id, AttemptResult.CANCELLED);
  }

  private boolean isTooLate(AdmittedRequest request, Progress progress) {
    long end = progress.headDelivered() ? request.deadline() : request.callerLeavesAt();
    return end - nanos.getAsLong() <= MIN_TIME_LEFT_NANOS;
  }

  private static GatewayRefusal tooLate(AdmittedRequest request) {
    return new GatewayRefusal(
        Reason.TOO_LATE, ServerPool.retryAfterMillis(new RequestId(request.head().id())));
  }

  private FleetJob job(AdmittedRequest request, Progress progress) {
    HostRoute route = request.route();
    long target = route.targetMillis() * NANOS_PER_MILLI;
    long refuseAt =
        Math.min(
            request.deadline() - MIN_TIME_LEFT_NANOS,
            request.arrivedAt() + (long) (target * MAX_WAIT_TARGETS));
    return new FleetJob(
        new RequestId("try-" + attemptIds.incrementAndGet()),
        request.service(),
        request.urgency(),
        request.arrivedAt(),
        progress.headDelivered() ? request.deadline() - MIN_TIME_LEFT_NANOS : refuseAt,
        request.head().prompt(),
        request.longPrompts(),
        route.gapMillis(),
        request.organisation(),
        progress.usedServers(),
        progress.origin().flatMap(StreamOrigin::version));
  }

  private Flux<ResponsePart> send(
      AdmittedRequest request, byte[] body, Progress progress, Binding binding, SendMarker marker) {
    RequestId id = binding.job().id();
    PromptShape prompt = request.head().prompt();
    if (stop.isClosed() && progress.attempts() == 0) {
      cancel(id);
      return Flux.error(GatewayRefusal.draining());
    }
    if (isTooLate(request, progress)) {
      cancel(id);
      return Flux.error(tooLate(request));
    }
    if (crashes.isHeldBack(prompt)) {
      cancel(id);
      return Flux.error(GatewayRefusal.of(Reason.PROMPT_QUARANTINED));
    }
    marker.require(() -> pool.isOpen(binding));
    crashes.sent(prompt);
    progress.startAttempt(binding.server().id(), marker);
    long sentAt = nanos.getAsLong();
    Call call =
        new Call(
            request.head(),
            body,
            binding.server(),
            request.organisation(),
            Duration.ofNanos(request.deadline() - sentAt),
            request.urgency(),
            progress.lastEvent(),
            binding.copyFrom(),
            maxConnections(request.service()),
            marker);
    logger.atInfo().log(
        "event=sent request=%s route=%s try=%d backend=%s software=%s waitedMillis=%d version=%d",
        request.head().id(),
        request.route().name(),
        progress.attempts(),
        binding.server().id(),
        binding.server().version().map(SoftwareVersion::value).orElse("unknown"),
        (sentAt - request.arrivedAt()) / NANOS_PER_MILLI,
        table.get().config().version());
    return backends
        .send(call, response -> reader.read(request, progress, binding, sentAt, response))
        .transform(parts -> timeouts.guard(request, progress, binding, parts))
        .doOnError(error -> marker.tryAbandon())
        .doOnCancel(marker::tryAbandon)
        .doOnComplete(() -> pool.release(id, AttemptResult.OK))
        .doOnComplete(() -> crashes.completed(prompt))
        .doOnError(error -> pool.release(id, AttemptFailure.endOf(marker, error)))
        .doOnError(error -> crashes.failed(binding.server(), prompt, marker, error))
        .doOnCancel(() -> cancel(id));
  }

  private int maxConnections(ServiceName service) {
    int declared = table.get().service(service).map(ServiceSpec::maxConnections).orElse(1);
    return Math.max(1, declared / Math.max(1, entries.getAsInt()));
  }

  private Flux<ResponsePart> retryOrFail(
      AdmittedRequest request, byte[] body, Progress progress, SendMarker marker, Throwable error) {
    if (error instanceof GatewayRefusal) {
      return Flux.error(error);
    }
    FailedAttempt failed =
        new FailedAttempt(
            !marker.tryAbandon(), AttemptFailure.failureOf(error), progress.deliveredPart());
    if (failed.mayHaveRun()) {
      progress.recordPossibleRun(marker);
    } else {
      progress.recordNotRun(marker);
    }
    Optional<RetryReason> reason =
        RetryPolicy.reason(failed, mayRepeat(request.route(), progress))
            .filter(
                allowed -> RetryPolicy.allowsAnother(progress.attempts(), progress.headDelivered()))
            .filter(allowed -> request.deadline() - nanos.getAsLong() > MIN_TIME_LEFT_NANOS)
            .filter(allowed -> !marker.mayHaveSent() || retries.tryRepeat(request.service()));
    logger.atInfo().log(
        "event=try_failed request=%s try=%d mayHaveRun=%s retry=%s cause=\"%s\"",
        request.head().id(),
        progress.attempts(),
        failed.mayHaveRun(),
        reason.map(RetryReason::toString).orElse("no"),
        error);
    if (reason.isEmpty()) {
      return Flux.error(error);
    }
    counters.retried(reason.get());
    return attempt(request, body, progress);
  }

  private static boolean mayRepeat(HostRoute route, Progress progress) {
    return route.repeatable() && progress.possibleRuns() < route.maxServers();
  }

  /** Ends a request whose last attempt failed. */
  private Flux<ResponsePart> finalResponse(
      AdmittedRequest request, Progress progress, Throwable error) {
    if (progress.headDelivered()) {
      StreamResumptions.logIfVersionGone(request, progress, error);
      return Flux.error(new GatewayRefusal(Reason.ANSWER_BROKEN));
    }
    if (progress.retained().isPresent()) {
      Progress.RetainedResponse retained = progress.retained().get();
      return Flux.just(retained.head(), new ResponsePart.Body(retained.body()));
    }
    boolean timedOut = error instanceof TimeoutException;
    if (progress.endAndCheckMayHaveRun()) {
      return Flux.error(
          new GatewayRefusal(timedOut ? Reason.BACKEND_TIMEOUT : Reason.BACKEND_FAILED));
    }
    return Flux.error(
        error instanceof GatewayRefusal refusal
            ? refusal
            : new GatewayRefusal(
                Reason.NOT_TAKEN,
                ServerPool.retryAfterMillis(new RequestId("r" + attemptIds.incrementAndGet()))));
  }
}
