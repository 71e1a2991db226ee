package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.gateway.BackendPort.Answer;
import org.endivemux.gateway.BackendPort.Call;
import org.endivemux.gateway.BackendPort.Left;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.RetryReason;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.routing.fleet.FleetScheduler.Binding;
import org.endivemux.routing.fleet.TryEnd;
import org.endivemux.wire.BoundedBytes;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Sends a request to a backend server, and elsewhere when that is safe.
 *
 * <p>Invariants: a request that must not be repeated is sent again only when the one before it did
 * certainly not run; a refusal that says "not run" is given only then; a resumed stream goes on
 * after the last event that the caller has. Thread-safe.
 */
final class Relay {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_SENDS = 4;
  private static final int MAX_ANSWER_BYTES = 8 << 20;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;

  /** With less time left no other backend server is tried. */
  private static final long LEAST_NANOS = 60 * NANOS_PER_MILLI;

  /** A try that may be repeated elsewhere gets this many times the target for its first byte. */
  private static final double FIRST_BYTE_TARGETS = 2;

  private static final long SHORTEST_FIRST_BYTE_NANOS = 600 * NANOS_PER_MILLI;

  /** A stream that may be resumed elsewhere is silent no longer than this between events. */
  private static final long SHORTEST_GAP_NANOS = 1000 * NANOS_PER_MILLI;

  /** Part of the target that a request waits for room before it is refused. */
  private static final double PATIENCE = 0.75;

  private final ServerPool pool;
  private final BackendPort backends;
  private final GatewaySyncState ledger;
  private final GatewayCounters counters;
  private final Supplier<RouteTable> table;
  private final IntSupplier entries;
  private final SharedRetries retries;
  private final LongSupplier nanos;
  private final Scheduler timers;
  private final AtomicLong tries = new AtomicLong();

  Relay(
      ServerPool pool,
      BackendPort backends,
      GatewaySyncState ledger,
      GatewayCounters counters,
      Supplier<RouteTable> table,
      IntSupplier entries,
      SharedRetries retries,
      LongSupplier nanos,
      Scheduler timers) {
    this.pool = pool;
    this.backends = backends;
    this.ledger = ledger;
    this.counters = counters;
    this.table = table;
    this.entries = entries;
    this.retries = retries;
    this.nanos = nanos;
    this.timers = timers;
  }

  /** Runs a request to its end; fails with {@link GatewayRefusal}. */
  Flux<AnswerPart> run(Admitted request, byte[] body) {
    Progress progress = new Progress(request.head().resumeAfter());
    retries.requested(request.service());
    Duration timeLeft = Duration.ofNanos(Math.max(0, request.deadline() - nanos.getAsLong()));
    return attempt(request, body, progress)
        .takeUntilOther(
            Mono.delay(timeLeft, timers).flatMap(tick -> Mono.error(new TimeoutException())))
        .onErrorResume(error -> giveUp(progress, error));
  }

  private Flux<AnswerPart> attempt(Admitted request, byte[] body, Progress progress) {
    return Flux.defer(
        () -> {
          FleetJob job = job(request, progress);
          Left left = new Left();
          return pool.acquire(job)
              .flatMapMany(binding -> once(request, body, progress, binding, left))
              .onErrorResume(error -> again(request, body, progress, left, error));
        });
  }

  private FleetJob job(Admitted request, Progress progress) {
    HostRoute route = request.route();
    long target = route.targetMillis() * NANOS_PER_MILLI;
    long giveUpAt =
        Math.min(
            request.deadline() - LEAST_NANOS, request.arrivedAt() + (long) (target * PATIENCE));
    return new FleetJob(
        new RequestId("try-" + tries.incrementAndGet()),
        request.service(),
        request.urgency(),
        request.arrivedAt(),
        progress.headDelivered() ? request.deadline() - LEAST_NANOS : giveUpAt,
        request.head().prompt(),
        request.longPrompts(),
        progress.used());
  }

  private Flux<AnswerPart> once(
      Admitted request, byte[] body, Progress progress, Binding binding, Left left) {
    RequestId id = binding.job().id();
    progress.sent(binding.server().id(), left);
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
            left);
    logger.atInfo().log(
        "event=sent request=%s route=%s try=%d backend=%s waitedMillis=%d version=%d",
        request.head().id(),
        request.route().name(),
        progress.sends(),
        binding.server().id(),
        (sentAt - request.arrivedAt()) / NANOS_PER_MILLI,
        table.get().config().version());
    return backends
        .send(call, answer -> read(request, progress, id, sentAt, answer))
        .transform(parts -> limited(request, progress, parts))
        .doOnComplete(() -> pool.release(id, TryEnd.OK))
        .doOnError(error -> pool.release(id, TryFailure.endOf(error)))
        .doOnCancel(() -> pool.release(id, TryEnd.CANCELLED));
  }

  private int maxConnections(ServiceName service) {
    int declared = table.get().service(service).map(ServiceSpec::maxConnections).orElse(1);
    return Math.max(1, declared / Math.max(1, entries.getAsInt()));
  }

  /** Ends a silent try early when the request may go on elsewhere. */
  private Flux<AnswerPart> limited(Admitted request, Progress progress, Flux<AnswerPart> parts) {
    HostRoute route = request.route();
    if (!route.repeatable() || progress.runs() + 1 >= route.maxServers()) {
      return parts;
    }
    long first =
        Math.max(
            SHORTEST_FIRST_BYTE_NANOS,
            (long) (route.targetMillis() * NANOS_PER_MILLI * FIRST_BYTE_TARGETS));
    long gap = Math.max(SHORTEST_GAP_NANOS, 2 * route.gapMillis() * NANOS_PER_MILLI);
    return parts.timeout(
        Mono.delay(Duration.ofNanos(first), timers),
        part -> Mono.delay(Duration.ofNanos(gap), timers));
  }

  private Flux<AnswerPart> read(
      Admitted request, Progress progress, RequestId id, long sentAt, Answer answer) {
    if (answer.notRun()) {
      return answer.body().thenMany(Flux.error(new TryFailure.NotRun(answer.elsewhere())));
    }
    if (request.route().kind() == RequestKind.STREAM && answer.status() == OK) {
      StreamReader reader =
          new StreamReader(progress, () -> firstEvent(request, progress, id, nanos.getAsLong()));
      return reader.read(answer.status(), answer.headers(), answer.body());
    }
    firstEvent(request, progress, id, sentAt);
    return BoundedBytes.collect(
            answer.body(),
            MAX_ANSWER_BYTES,
            () -> new IllegalStateException("The answer is longer than the gateway keeps."))
        .flatMapMany(whole -> whole(progress, answer, whole));
  }

  private Flux<AnswerPart> whole(Progress progress, Answer answer, byte[] bytes) {
    HttpHeaders headers = answer.headers();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    AnswerPart.Head head = new AnswerPart.Head(answer.status(), headers);
    if (answer.status() >= FIRST_SERVER_ERROR) {
      progress.keep(new Progress.KeptAnswer(head, bytes));
      return Flux.error(new TryFailure.ServerError());
    }
    progress.delivered(progress.lastEvent());
    return Flux.just(head, new AnswerPart.Body(bytes));
  }

  /** Counts a request that has begun to run, once. */
  private void firstEvent(Admitted request, Progress progress, RequestId id, long beganAt) {
    pool.answered(id);
    Optional<OrganisationId> organisation = request.organisation();
    if (organisation.isPresent() && progress.countOnce()) {
      ledger.countStarted(organisation.get(), (nanos.getAsLong() - beganAt) / NANOS_PER_MILLI);
    }
  }

  private Flux<AnswerPart> again(
      Admitted request, byte[] body, Progress progress, Left left, Throwable error) {
    if (error instanceof GatewayRefusal) {
      return Flux.error(error);
    }
    boolean mayHaveRun = RetryRule.mayHaveRun(left, error);
    if (mayHaveRun) {
      progress.mayHaveRun();
    } else {
      progress.didNotRun();
    }
    Optional<RetryReason> reason =
        RetryRule.reason(request.route(), progress, left, error)
            .filter(allowed -> progress.sends() < MAX_SENDS)
            .filter(allowed -> request.deadline() - nanos.getAsLong() > LEAST_NANOS)
            .filter(allowed -> !left.may() || retries.tryRepeat(request.service()));
    logger.atInfo().log(
        "event=try_failed request=%s try=%d mayHaveRun=%s retry=%s cause=\"%s\"",
        request.head().id(),
        progress.sends(),
        mayHaveRun,
        reason.map(RetryReason::toString).orElse("no"),
        error);
    if (reason.isEmpty()) {
      return Flux.error(error);
    }
    counters.retried(reason.get());
    return attempt(request, body, progress);
  }

  private Flux<AnswerPart> giveUp(Progress progress, Throwable error) {
    if (progress.headDelivered()) {
      return Flux.error(new GatewayRefusal(Reason.ANSWER_BROKEN));
    }
    if (progress.kept().isPresent()) {
      Progress.KeptAnswer kept = progress.kept().get();
      return Flux.just(kept.head(), new AnswerPart.Body(kept.body()));
    }
    boolean timedOut = error instanceof TimeoutException;
    if (progress.isMaybeRun()) {
      return Flux.error(
          new GatewayRefusal(timedOut ? Reason.BACKEND_TIMEOUT : Reason.BACKEND_FAILED));
    }
    return Flux.error(
        error instanceof GatewayRefusal it
            ? it
            : new GatewayRefusal(
                Reason.NOT_TAKEN,
                ServerPool.retryAfterMillis(new RequestId("r" + tries.incrementAndGet()))));
  }
}
