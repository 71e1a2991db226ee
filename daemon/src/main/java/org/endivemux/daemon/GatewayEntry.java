package org.endivemux.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.UsageLedger;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.control.voter.Clocks;
import org.endivemux.gateway.DirectListing;
import org.endivemux.gateway.Gateway;
import org.endivemux.gateway.GatewayCounters;
import org.endivemux.gateway.ServerPool;
import org.endivemux.gateway.ServiceRetryAllowances;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import org.endivemux.platform.CallerEndpoint;
import org.endivemux.platform.DirectoryEndpoint;
import org.endivemux.platform.HttpBackends;
import org.endivemux.platform.PlatformApi;
import org.endivemux.routing.Cells;
import org.endivemux.routing.LoadDigests;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.wire.PeerLink;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Wires the parts of an entry of the gateway.
 *
 * <p>Invariant: a leaving entry is first no longer named to callers, still serves those that have
 * its address, and ends once no request is in flight. Started and stopped by one thread.
 */
final class GatewayEntry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Before the kill, so that the process ends by itself. */
  private static final Duration MARGIN = Duration.ofMillis(500);

  /** Callers that keep an old list of entries are served for so many of its lifetimes. */
  private static final double LIFETIMES_KEPT = 1.5;

  private static final Duration IDLE_CHECK = Duration.ofMillis(50);

  private final GatewaySettings settings;
  private final ViewFollower follower;
  private final Gateway gateway;
  private final CallerEndpoint callers;
  private final DirectoryEndpoint directory;
  private final DigestExchange digests;
  private final ServerPool pool;
  private final DirectListing listing;
  private final LoopResources loop;
  private volatile boolean leaving;
  private volatile boolean closed;

  GatewayEntry(
      GatewaySettings settings,
      Incarnation incarnation,
      ControlClient control,
      Function<InetSocketAddress, PeerLink> hintLink,
      Clocks clocks,
      LoopResources loop,
      Supplier<String> metricsText,
      MetricRegistry metrics) {
    this.settings = settings;
    this.loop = loop;
    Scheduler timers = Schedulers.fromExecutorService(loop.onServer(true).next());
    this.pool = new ServerPool(new FleetScheduler(settings.domain()), clocks::nanos, timers);
    GatewaySyncState ledger =
        new GatewaySyncState(clocks, settings.usageWindow().toMillis(), pool::loads, pool::digest);
    ledger.onFleetLoad(pool::updateFleetLoad);
    this.follower =
        new ViewFollower(control, () -> info(incarnation), new UsageLedger(), ledger, clocks);
    GatewayCounters counters = new GatewayCounters(metrics);
    this.gateway =
        new Gateway(
            follower,
            pool,
            new HttpBackends(loop),
            ledger,
            counters,
            this::entryCount,
            new ServiceRetryAllowances(
                new ServiceRetryAllowances.Limits(
                    settings.retryRatio(),
                    (int) Math.ceil(settings.retryWindowSeconds()),
                    settings.retrySlack()),
                this::entryCount,
                clocks::nanos),
            clocks::nanos,
            timers);
    this.callers = new CallerEndpoint(gateway, counters, () -> leaving, () -> closed);
    this.directory =
        new DirectoryEndpoint(
            this::addresses, settings.entriesLifetime(), this::isReady, metricsText);
    PlatformApi platform =
        new PlatformApi(
            new VmId(settings.vm()), settings.platformAddress().orElseThrow(), () -> false, loop);
    this.listing = new DirectListing(ledger, platform::servers, this::entryCount, clocks::nanos);
    this.digests = new DigestExchange(settings.peerId(), this::fewEntries, pool, hintLink);
  }

  /** Returns the entries while they tell each other their load; more of them tell the leader. */
  private List<EntryInfo> fewEntries() {
    return follower.entries().size() <= Cells.MAX_SIZE ? follower.entries() : List.of();
  }

  private int entryCount() {
    return Math.max(1, follower.entries().size());
  }

  private boolean isReady() {
    return gateway.isConfigured() && !leaving;
  }

  private EntryInfo info(Incarnation incarnation) {
    return new EntryInfo(
        settings.peerId(),
        incarnation,
        settings.domain(),
        settings.callersAddress().orElseThrow(),
        settings.peerId().value(),
        isReady());
  }

  private List<String> addresses(FailureDomain domain) {
    List<String> serving =
        follower.entries().stream()
            .filter(EntryInfo::serving)
            .map(EntryInfo::httpAddress)
            .limit(64)
            .toList();
    return serving.isEmpty() && isReady()
        ? List.of(settings.callersAddress().orElseThrow())
        : serving;
  }

  LoadDigests loads() {
    return pool;
  }

  void start() {
    callers.start(GatewaySettings.address(settings.callersAddress().orElseThrow()), loop);
    settings
        .directoryAddress()
        .ifPresent(address -> directory.start(GatewaySettings.address(address), loop));
    settings
        .readinessAddress()
        .ifPresent(address -> directory.start(GatewaySettings.address(address), loop));
    follower.start();
    digests.start();
    listing.start();
  }

  /** Leaves, drains and completes when no request is in flight or the time is up. */
  Mono<Void> stop() {
    leaving = true;
    logger.atInfo().log("event=leaving inFlight=%d", callers.inFlight());
    Duration serving =
        Duration.ofMillis((long) (settings.entriesLifetime().toMillis() * LIFETIMES_KEPT));
    Duration limit = settings.drain().minus(MARGIN);
    return Mono.delay(serving)
        .doOnNext(tick -> closed = true)
        .then(Mono.defer(this::untilIdle))
        .timeout(limit, Mono.empty())
        .doOnTerminate(() -> logger.atInfo().log("event=left inFlight=%d", callers.inFlight()));
  }

  private Mono<Void> untilIdle() {
    return Flux.interval(Duration.ZERO, IDLE_CHECK)
        .onBackpressureDrop()
        .filter(tick -> callers.inFlight() == 0)
        .next()
        .then();
  }
}
