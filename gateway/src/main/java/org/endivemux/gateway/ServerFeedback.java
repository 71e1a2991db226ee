package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerReport;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.ServerNotices;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/**
 * Records what the responses of backend servers tell of the servers.
 *
 * <p>Accesses the scheduler and the notices under the lock of the {@link ServerPool} that created
 * it. Thread-safe.
 */
final class ServerFeedback {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Object lock;
  private final FleetScheduler scheduler;
  private final ServerNotices notices;
  private final LongSupplier nanos;
  private final Scheduler timers;
  private final Runnable bind;

  /**
   * @param bind binds waiting requests; called without the lock
   */
  ServerFeedback(
      Object lock,
      FleetScheduler scheduler,
      ServerNotices notices,
      LongSupplier nanos,
      Scheduler timers,
      Runnable bind) {
    this.lock = lock;
    this.scheduler = scheduler;
    this.notices = notices;
    this.nanos = nanos;
    this.timers = timers;
    this.bind = bind;
  }

  /** Records that a server said that it leaves; it gets no further requests. */
  void leaves(GatewayServer server) {
    boolean isNew;
    synchronized (lock) {
      isNew = notices.leaves(server.id(), nanos.getAsLong());
    }
    if (isNew) {
      logger.atInfo().log("event=server_leaving backend=%s", server.id());
    }
  }

  /** Records that a server wants no requests for some time. */
  void pauses(GatewayServer server, Duration length) {
    long now = nanos.getAsLong();
    Duration untilEnd;
    synchronized (lock) {
      untilEnd = Duration.ofNanos(notices.pauses(server.id(), length, now) - now);
    }
    logger.atInfo().log(
        "event=server_paused backend=%s askedMillis=%d millis=%d",
        server.id(), length.toMillis(), untilEnd.toMillis());
    var unused =
        bindRepeatedly(untilEnd, ServerNotices.RESUMPTION_NANOS)
            .doOnComplete(() -> logger.atInfo().log("event=server_resumed backend=%s", server.id()))
            .subscribe();
  }

  /**
   * Records the rate limit that a response states, or that it states none.
   *
   * @param requestsPerSecond limit for the requests of all entries together
   * @param sentAt when the request was sent, in monotonic nanoseconds
   */
  void limitStated(GatewayServer server, OptionalDouble requestsPerSecond, long sentAt) {
    boolean isNew;
    synchronized (lock) {
      isNew = scheduler.limitStated(server.id(), requestsPerSecond, sentAt, nanos.getAsLong());
    }
    if (isNew && requestsPerSecond.isPresent()) {
      logger.atInfo().log(
          "event=server_limited backend=%s requestsPerSecond=%s",
          server.id(), requestsPerSecond.getAsDouble());
    } else if (isNew) {
      logger.atInfo().log("event=server_limit_ended backend=%s", server.id());
      bind.run();
    }
  }

  /** Records what a server reports of its load. */
  void reported(GatewayServer server, ServerReport report) {
    boolean isFirst;
    synchronized (lock) {
      isFirst = scheduler.reported(server.id(), report, nanos.getAsLong());
    }
    if (isFirst) {
      logger.atInfo().log(
          "event=speeds_measured service=%s backend=%s workPercent=%d",
          server.service(), server.id(), report.workPercent().orElse(0));
    }
  }

  /** Records the first event of a response. */
  void answered(RequestId id) {
    synchronized (lock) {
      scheduler.firstEventReceived(id, nanos.getAsLong());
    }
  }

  /** Records the number of events of a complete stream, before its slot is freed. */
  void streamed(RequestId id, int events) {
    synchronized (lock) {
      scheduler.streamed(id, events, nanos.getAsLong());
    }
  }

  /** Binds waiting requests while the slots of servers grow, and after that. */
  private Flux<Long> bindRepeatedly(Duration delay, long growthNanos) {
    return Flux.interval(delay, ServerPool.RESUMPTION_STEP, timers)
        .take(growthNanos / ServerPool.RESUMPTION_STEP.toNanos() + 1)
        .doOnNext(step -> bind.run());
  }
}
