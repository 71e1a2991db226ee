package org.endivemux.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.StreamLedger;
import org.endivemux.control.client.StreamVersionLookup;
import org.endivemux.control.client.UsageLedger;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.control.voter.Clocks;
import org.endivemux.gateway.CrashWatch;
import org.endivemux.gateway.DirectListing;
import org.endivemux.gateway.EventLoopStall;
import org.endivemux.gateway.Gateway;
import org.endivemux.gateway.GatewayCounters;
import org.endivemux.gateway.PlannedStop;
import org.endivemux.gateway.ServerPool;
import org.endivemux.gateway.ServiceRetryAllowances;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import org.endivemux.platform.CallerEndpoint;
import org.endivemux.platform.DirectoryEndpoint;
import org.endivemux.platform.HttpBackends;
import org.endivemux.platform.PlatformApi;
import org.endivemux.platform.RequestPathWarmUp;
import org.endivemux.routing.Cells;
import org.endivemux.routing.EntryAddresses;
import org.endivemux.routing.LoadDigests;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.OverloadProtection;
import org.endivemux.routing.fleet.ServerNotices;
import org.endivemux.routing.fleet.StatedLimits;
import org.endivemux.routing.fleet.WarmUpLimit;
import org.endivemux.wire.PeerLink;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Assembles the components of an entry of the gateway.
 *
 * <p>Invariant: a leaving entry is first removed from the list that callers get, keeps serving
 * callers that still have its address, then refuses what it has not passed on yet, and stops once
 * no request is in flight; each request that it has read is answered before the process ends.
 * Started and stopped by one thread.
 */
final class GatewayEntry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Draining ends this long before the process is killed, so that it can exit by itself. */
  private static final Duration SHUTDOWN_MARGIN = Duration.ofMillis(500);

  /**
   * A leaving entry accepts new requests for this multiple of the entry list's lifetime, since
   * callers may still use an old list.
   */
  private static final double SERVED_LIFETIMES = 1.5;

  private static final Duration OPEN_CHECK_INTERVAL = Duration.ofMillis(20);

  /** Largest number of addresses that callers accept in one answer. */
  private static final int MAX_NAMED_ENTRIES = 64;

  private final GatewaySettings settings;
  private final ViewFollower follower;
  private final Gateway gateway;
  private final CallerEndpoint callers;
  private final DirectoryEndpoint directory;
  private final DigestExchange digests;
  private final ServerPool pool;
  private final DirectListing listing;
  private final EventLoopStall stall;
  private final LoopResources loop;
  private final PlannedStop plannedStop = new PlannedStop();
  private final Consumer<Throwable> fatal;
  private volatile boolean acceptsCallers;

  GatewayEntry(
      GatewaySettings settings,
      Incarnation incarnation,
      ControlClient control,
      Function<InetSocketAddress, PeerLink> digestLink,
      Clocks clocks,
      LoopResources loop,
      Supplier<String> metricsText,
      Consumer<Throwable> fatal,
      MetricRegistry metrics) {
    this.settings = settings;
    this.fatal = fatal;
    this.loop = loop;
    Scheduler timers = Schedulers.fromExecutorService(loop.onServer(true).next());
    ServerNotices notices = new ServerNotices(settings.maxServerPause());
    this.pool =
        new ServerPool(
            new FleetScheduler(
                settings.domain(),
                notices,
                settings.serverDrain(),
                new WarmUpLimit(settings.peerId(), this::liveEntries, settings.coldBounds()),
                new StatedLimits(settings.peerId(), this::liveEntries),
                new OverloadProtection(settings.isOverloadProtected(), this::entryCount)),
            notices,
            clocks::nanos,
            timers);
    metrics.register("servers.leaving", (Gauge<Integer>) () -> pool.figures().leaving().size());
    metrics.register("servers.paused", (Gauge<Integer>) pool.figures()::pausedCount);
    metrics.register("servers.limited", (Gauge<Integer>) pool.figures()::limitedCount);
    metrics.register("domains.evacuated", (Gauge<Integer>) pool::evacuatedCount);
    metrics.register("servers.cold", (Gauge<Integer>) pool.figures()::coldCount);
    metrics.register("servers.speedSpread", (Gauge<Double>) pool.figures()::speedSpread);
    metrics.register("overload.heldBack", (Gauge<Integer>) pool.figures()::heldBackCount);
    GatewayCounters counters = new GatewayCounters(metrics);
    HttpBackends backends = new HttpBackends(loop, counters);
    CrashWatch crashes = new CrashWatch(backends, clocks::nanos, timers);
    StreamLedger streams = new StreamLedger(clocks::nanos);
    GatewaySyncState syncState =
        new GatewaySyncState(
            clocks,
            settings.usageWindow().toMillis(),
            pool::loads,
            pool::digest,
            pool.figures()::leaving,
            crashes::news,
            pool.figures()::nextSpeeds,
            pool.figures()::refusing,
            streams);
    syncState.onFleetLoad(pool::updateFleetLoad);
    syncState.onSpeeds(pool::updateSpeeds);
    this.follower =
        new ViewFollower(control, () -> info(incarnation), new UsageLedger(), syncState, clocks);
    this.stall = new EventLoopStall(clocks::nanos, timers);
    metrics.register("loop.stalls", (Gauge<Long>) stall::count);
    this.gateway =
        new Gateway(
            follower,
            pool,
            backends,
            syncState,
            new StreamVersionLookup(streams, control),
            crashes,
            counters,
            this::entryCount,
            new ServiceRetryAllowances(
                new ServiceRetryAllowances.Limits(
                    settings.retryRatio(),
                    (int) Math.ceil(settings.retryWindowSeconds()),
                    settings.retrySlack()),
                this::entryCount,
                clocks::nanos),
            settings.hedgePolicy(),
            plannedStop,
            stall,
            clocks::nanos,
            timers);
    this.callers = new CallerEndpoint(gateway, counters, plannedStop);
    this.directory =
        new DirectoryEndpoint(
            this::addresses, settings.entriesLifetime(), this::isReady, metricsText);
    PlatformApi platform =
        new PlatformApi(
            new VmId(settings.vm()), settings.platformAddress().orElseThrow(), () -> false, loop);
    this.listing =
        new DirectListing(
            syncState, platform::servers, gateway::isConfigured, this::entryCount, clocks::nanos);
    this.digests = new DigestExchange(settings.peerId(), this::digestPeers, pool, digestLink);
  }

  /**
   * Returns all entries if they are few enough to exchange their loads directly, or no entries
   * otherwise: a larger fleet exchanges loads through the leader.
   */
  private List<EntryInfo> digestPeers() {
    return follower.entries().size() <= Cells.MAX_SIZE ? follower.entries() : List.of();
  }

  private List<EntryInfo> liveEntries() {
    return follower.entries();
  }

  private int entryCount() {
    return Math.max(1, follower.entries().size());
  }

  private boolean isReady() {
    return acceptsCallers && !plannedStop.isLeaving();
  }

  private EntryInfo info(Incarnation incarnation) {
    return new EntryInfo(
        settings.peerId(),
        incarnation,
        settings.domain(),
        settings.callersAddress().orElseThrow(),
        settings.peerId().value(),
        isReady(),
        settings.capacity());
  }

  private List<String> addresses(DirectoryEndpoint.Caller caller) {
    List<String> serving =
        EntryAddresses.select(
            settings.peerId(),
            new EntryAddresses.Caller(caller.host(), caller.failureDomain()),
            follower.entries(),
            MAX_NAMED_ENTRIES);
    return serving.isEmpty() && isReady()
        ? List.of(settings.callersAddress().orElseThrow())
        : serving;
  }

  LoadDigests loads() {
    return pool;
  }

  /**
   * Starts all components; the callers' port is opened when the entry has a configuration and its
   * request path is warm. A port that is open before would hold requests unread while the process
   * starts; one that is closed sends callers to another entry at once.
   */
  void start() {
    settings
        .directoryAddress()
        .ifPresent(address -> directory.start(GatewaySettings.address(address), loop));
    settings
        .readinessAddress()
        .ifPresent(address -> directory.start(GatewaySettings.address(address), loop));
    follower.start();
    digests.start();
    listing.start();
    var unused =
        Mono.when(configured(), new RequestPathWarmUp(loop).run())
            .publishOn(Schedulers.boundedElastic())
            .subscribe(nothing -> {}, fatal, this::openCallersPort);
  }

  private Mono<Long> configured() {
    return Flux.interval(OPEN_CHECK_INTERVAL)
        .onBackpressureDrop()
        .filter(tick -> gateway.isConfigured())
        .next();
  }

  private void openCallersPort() {
    String address = settings.callersAddress().orElseThrow();
    stall.start();
    callers.start(GatewaySettings.address(address), loop);
    acceptsCallers = true;
    logger.atInfo().log("event=callers_accepted address=%s", address);
  }

  /** Leaves and drains; see {@link EntryDrain}. */
  Mono<Void> stop() {
    Duration serving =
        Duration.ofMillis((long) (settings.entriesLifetime().toMillis() * SERVED_LIFETIMES));
    Duration limit = settings.drain().minus(SHUTDOWN_MARGIN);
    return new EntryDrain(plannedStop, callers::inFlight, serving, limit, Schedulers.parallel())
        .run();
  }
}
