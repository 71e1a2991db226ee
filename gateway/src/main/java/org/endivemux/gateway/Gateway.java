package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.model.Keys;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.OrganisationKeys;
import org.endivemux.routing.fleet.PromptSizes;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/**
 * Takes requests of callers, free of any protocol.
 *
 * <p>Invariants: the organisation follows from the key alone; each request is decided by the
 * configuration of the moment of its arrival; without any configuration every request is refused as
 * not run. Thread-safe.
 */
public final class Gateway {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_KEY_LENGTH = 256;

  private final ViewFollower follower;
  private final ServerPool pool;
  private final GatewayCounters counters;
  private final LongSupplier nanos;
  private final Relay relay;
  private final PromptSizes promptSizes = new PromptSizes();
  private volatile RouteTable table = new RouteTable(GatewayConfig.none());

  public Gateway(
      ViewFollower follower,
      ServerPool pool,
      BackendPort backends,
      GatewaySyncState ledger,
      GatewayCounters counters,
      IntSupplier entries,
      SharedRetries retries,
      LongSupplier nanos,
      Scheduler timers) {
    this.follower = follower;
    this.pool = pool;
    this.counters = counters;
    this.nanos = nanos;
    this.relay =
        new Relay(pool, backends, ledger, counters, () -> table, entries, retries, nanos, timers);
    follower.onChange(this::viewChanged);
    ledger.onServersChanged(() -> pool.list(ledger.servers()));
  }

  private void viewChanged() {
    GatewayConfig config = follower.view().gateway();
    if (config.version() > table.config().version()) {
      table = new RouteTable(config);
      pool.configure(config);
      logger.atInfo().log(
          "event=configured version=%d routes=%d organisations=%d",
          config.version(), config.routes().size(), config.organisations().size());
    }
  }

  /** Returns whether there is a configuration to decide by. */
  public boolean isConfigured() {
    return !table.config().isNone();
  }

  /** Returns what callers may send. */
  public ClientLimits limits() {
    return table.config().limits();
  }

  /** Decides whether a request is taken, before its body is read. */
  public Either<GatewayRefusal, Admitted> admit(RequestHead head) {
    RouteTable present = table;
    if (present.config().isNone()) {
      return refuse(Reason.NO_CONFIG);
    }
    Optional<HostRoute> route = present.route(head.host(), head.path());
    if (route.isEmpty()) {
      return refuse(Reason.UNKNOWN_ROUTE);
    }
    Optional<OrganisationKeys> organisation =
        head.key()
            .filter(key -> key.length() <= MAX_KEY_LENGTH)
            .flatMap(key -> present.organisation(Keys.digest(key)));
    boolean needsKey = present.hasOrganisations() && !route.get().open();
    if (needsKey && organisation.isEmpty()) {
      return refuse(head.key().isPresent() ? Reason.WRONG_KEY : Reason.NO_KEY);
    }
    return Either.right(admitted(head, route.get(), organisation));
  }

  private static Either<GatewayRefusal, Admitted> refuse(Reason reason) {
    return Either.left(new GatewayRefusal(reason, reason.retryAfterSeconds() * 1000L));
  }

  private Admitted admitted(
      RequestHead head, HostRoute route, Optional<OrganisationKeys> organisation) {
    long now = nanos.getAsLong();
    OptionalInt own = organisation.map(OrganisationKeys::priority).orElse(OptionalInt.empty());
    OptionalLong waits = head.waitsMillis();
    long millis = Math.min(route.timeoutMillis(), waits.orElse(route.timeoutMillis()));
    return new Admitted(
        head,
        route,
        RouteTable.pick(route, head.id().hashCode() * 0x9E3779B9),
        organisation.map(OrganisationKeys::organisation),
        own.orElse(route.priority()),
        isLong(head, route),
        now,
        now + millis * NANOS_PER_MILLI);
  }

  private boolean isLong(RequestHead head, HostRoute route) {
    synchronized (promptSizes) {
      return promptSizes.isLong(route.name(), head.prompt().tokens());
    }
  }

  /** Runs a request to its end; fails with {@link GatewayRefusal}. */
  public Flux<AnswerPart> run(Admitted request, byte[] body) {
    return relay
        .run(request, body)
        .doOnComplete(() -> answered(request))
        .doOnCancel(
            () ->
                logger.atInfo().log(
                    "event=caller_left request=%s afterMillis=%d",
                    request.head().id(),
                    (nanos.getAsLong() - request.arrivedAt()) / NANOS_PER_MILLI));
  }

  private void answered(Admitted request) {
    long took = nanos.getAsLong() - request.arrivedAt();
    counters.answered(request.route(), took);
    logger.atInfo().log(
        "event=answered request=%s route=%s tookMillis=%d",
        request.head().id(), request.route().name(), took / NANOS_PER_MILLI);
  }
}
