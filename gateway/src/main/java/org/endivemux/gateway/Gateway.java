package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.StreamVersionLookup;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.model.Keys;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.OrganisationKeys;
import org.endivemux.routing.fleet.HedgePolicy;
import org.endivemux.routing.fleet.PromptSizes;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/**
 * Admits and runs callers' requests, independently of the protocol.
 *
 * <p>Invariants: the key alone determines the organisation; the configuration in force at a
 * request's arrival decides about it; without any configuration every request is refused as not
 * run; a request is refused for good only by a configuration that is proved to be the newest.
 * Thread-safe.
 */
public final class Gateway {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_KEY_LENGTH = 256;

  private final ViewFollower follower;
  private final ServerPool pool;
  private final GatewayCounters counters;
  private final LongSupplier nanos;
  private final EventLoopStall stall;
  private final CrashWatch crashes;
  private final Relay relay;
  private final PromptSizes promptSizes = new PromptSizes();
  private volatile RouteTable table = new RouteTable(GatewayConfig.none());

  /**
   * @param hedgePolicy empty if no request is sent to a second server before the first one fails
   */
  public Gateway(
      ViewFollower follower,
      ServerPool pool,
      BackendPort backends,
      GatewaySyncState syncState,
      StreamVersionLookup versions,
      CrashWatch crashes,
      GatewayCounters counters,
      IntSupplier entries,
      ServiceRetryAllowances retries,
      Optional<HedgePolicy> hedgePolicy,
      PlannedStop stop,
      EventLoopStall stall,
      LongSupplier nanos,
      Scheduler timers) {
    this.follower = follower;
    this.pool = pool;
    this.counters = counters;
    this.nanos = nanos;
    this.stall = stall;
    this.crashes = crashes;
    this.relay =
        new Relay(
            pool,
            backends,
            syncState,
            versions,
            crashes,
            counters,
            () -> table,
            entries,
            retries,
            hedgePolicy,
            stop,
            stall,
            nanos,
            timers);
    follower.onChange(this::viewChanged);
    syncState.onServersChanged(
        () -> pool.updateServers(syncState.servers(), syncState.trueMillis()));
    syncState.onVerdicts(crashes::update);
  }

  private void viewChanged() {
    // Before the first configuration, with which the entry begins to send requests.
    pool.updateEvacuated(follower.view().evacuated());
    GatewayConfig config = follower.view().gateway();
    if (config.version() > table.config().version()) {
      long startedAt = nanos.getAsLong();
      table = new RouteTable(config);
      pool.configure(config);
      logger.atInfo().log(
          "event=configured version=%d revision=%d routes=%d organisations=%d tookMillis=%d",
          config.version(),
          follower.view().revision(),
          config.routes().size(),
          config.organisations().size(),
          (nanos.getAsLong() - startedAt) / NANOS_PER_MILLI);
    }
  }

  /** Returns whether the gateway has received a configuration. */
  public boolean isConfigured() {
    return !table.config().isNone();
  }

  /** Returns the limits on what callers may send. */
  public ClientLimits limits() {
    return table.config().limits();
  }

  /** Decides whether a request is admitted, before its body is read. */
  public Either<GatewayRefusal, AdmittedRequest> admit(RequestHead head) {
    RouteTable current = table;
    if (current.config().isNone()) {
      return refuse(Reason.NO_CONFIG);
    }
    Optional<HostRoute> route = current.route(head.host(), head.path());
    if (route.isEmpty()) {
      return refuseForGood(Reason.UNKNOWN_ROUTE);
    }
    Optional<OrganisationKeys> organisation =
        head.key()
            .filter(key -> key.length() <= MAX_KEY_LENGTH)
            .flatMap(key -> current.organisation(Keys.digest(key)));
    boolean needsKey = current.hasOrganisations() && !route.get().open();
    if (needsKey && organisation.isEmpty()) {
      return refuseForGood(head.key().isPresent() ? Reason.WRONG_KEY : Reason.NO_KEY);
    }
    if (crashes.isHeldBack(head.prompt())) {
      return refuse(Reason.PROMPT_QUARANTINED);
    }
    return Either.right(
        admitted(head, route.get(), organisation, current.urgency(route.get(), organisation)));
  }

  /**
   * Refuses what the configuration does not allow, if no newer one can be in force; otherwise the
   * caller may come back.
   */
  private Either<GatewayRefusal, AdmittedRequest> refuseForGood(Reason reason) {
    return refuse(follower.isFresh() ? reason : Reason.STALE_STATE);
  }

  private static Either<GatewayRefusal, AdmittedRequest> refuse(Reason reason) {
    return Either.left(GatewayRefusal.of(reason));
  }

  private AdmittedRequest admitted(
      RequestHead head, HostRoute route, Optional<OrganisationKeys> organisation, int urgency) {
    long arrivedAt = stall.earliestArrival();
    OptionalLong maxWait = head.maxWaitMillis();
    long millis = Math.min(route.timeoutMillis(), maxWait.orElse(route.timeoutMillis()));
    return new AdmittedRequest(
        head,
        route,
        RouteTable.pick(route, head.id().hashCode() * 0x9E3779B9),
        organisation.map(OrganisationKeys::organisation),
        urgency,
        isLong(head, route),
        arrivedAt,
        arrivedAt + millis * NANOS_PER_MILLI);
  }

  private boolean isLong(RequestHead head, HostRoute route) {
    synchronized (promptSizes) {
      return promptSizes.updateAndCheckLong(route.name(), head.prompt().tokens());
    }
  }

  /** Runs a request to completion; fails with {@link GatewayRefusal}. */
  public Flux<ResponsePart> run(AdmittedRequest request, byte[] body) {
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

  private void answered(AdmittedRequest request) {
    long took = nanos.getAsLong() - request.arrivedAt();
    counters.answered(request.route(), took);
    logger.atInfo().log(
        "event=answered request=%s route=%s tookMillis=%d",
        request.head().id(), request.route().name(), took / NANOS_PER_MILLI);
  }
}
