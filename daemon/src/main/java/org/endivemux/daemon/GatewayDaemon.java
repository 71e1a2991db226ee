package org.endivemux.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.voter.Clocks;
import org.endivemux.entry.MetricsText;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import org.endivemux.platform.OperatorEndpoint;
import org.endivemux.routing.LoadDigests;
import org.endivemux.wire.Hello;
import org.endivemux.wire.LinkMetrics;
import org.endivemux.wire.LinkTiming;
import org.endivemux.wire.PeerLink;
import org.endivemux.wire.PeerSecurity;
import org.endivemux.wire.PeerServer;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * Assembles the components of one gateway process: an entry, a voter, or both.
 *
 * <p>Started and stopped by one thread.
 */
final class GatewayDaemon {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final GatewaySettings settings;
  private final MetricRegistry metrics = new MetricRegistry();
  private final LinkMetrics linkMetrics = LinkMetrics.of(metrics);
  private final LoopResources loop = LoopResources.create("gateway", 1, true);
  private final Hello hello;
  private final PeerNetwork network;
  private final ControlClient control;
  private final Optional<GatewayVoter> voter;
  private final Optional<GatewayEntry> entry;

  GatewayDaemon(GatewaySettings settings, Clocks clocks, Consumer<Throwable> fatal) {
    this.settings = settings;
    this.hello =
        new Hello(
            Hello.VERSION,
            settings.peerId(),
            new Incarnation(
                Long.toString(clocks.millis(), Character.MAX_RADIX)
                    + "p"
                    + ProcessHandle.current().pid()));
    this.network = new PeerNetwork(hello, linkMetrics);
    this.voter =
        settings
            .dataFolder()
            .map(folder -> new GatewayVoter(settings, network, clocks, loop, fatal, metrics));
    this.control =
        new ControlClient(
            this::voterClient, settings.contactIds(), voter.map(own -> settings.peerId()));
    this.entry =
        settings
            .callersAddress()
            .map(
                address ->
                    new GatewayEntry(
                        settings,
                        hello.incarnation(),
                        control,
                        this::digestLink,
                        clocks,
                        loop,
                        () -> MetricsText.of(metrics),
                        fatal,
                        metrics));
  }

  private ControlClient.VoterClient voterClient(VmId vm) {
    return voter
        .filter(own -> vm.equals(settings.peerId()))
        .map(own -> ControlClient.local(own.service()::handle))
        .orElseGet(() -> network.voterClient(vm));
  }

  private PeerLink digestLink(InetSocketAddress address) {
    return new PeerLink(address, hello, PeerSecurity.none(), LinkTiming.relaxed(), linkMetrics)
        .start();
  }

  /** Opens the ports and starts all components; throws if a port is in use. */
  GatewayDaemon start() {
    LoadDigests loads = entry.<LoadDigests>map(GatewayEntry::loads).orElseGet(NoLoad::new);
    PeerRouter router =
        new PeerRouter(
            voter.map(GatewayVoter::voter), voter.map(GatewayVoter::service), loads, metrics);
    new PeerServer(
            settings.peerListenAddress(),
            router,
            PeerSecurity.none(),
            LinkTiming.relaxed(),
            linkMetrics)
        .start();
    voter.ifPresent(GatewayVoter::start);
    entry.ifPresent(GatewayEntry::start);
    settings
        .operatorAddress()
        .ifPresent(
            address ->
                new OperatorEndpoint(control, () -> MetricsText.of(metrics))
                    .start(GatewaySettings.address(address), loop));
    logger.atInfo().log(
        "event=started vm=%s incarnation=%s voter=%s entry=%s mayForm=%s",
        settings.vm(),
        hello.incarnation(),
        voter.isPresent(),
        entry.isPresent(),
        settings.mayForm());
    return this;
  }

  /** Applies the settings that may change while the process runs: only the contacts. */
  void reload(GatewaySettings newSettings) {
    control.setContacts(newSettings.contactIds());
    logger.atInfo().log("event=settings_read contacts=%s", newSettings.contactIds());
  }

  /** Drains the entry, if there is one; see {@link GatewayEntry#stop}. */
  Mono<Void> stop() {
    return entry.map(GatewayEntry::stop).orElseGet(Mono::empty);
  }
}
