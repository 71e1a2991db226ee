package org.endivemux.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.endivemux.consensus.BootstrapConfig;
import org.endivemux.consensus.Envelope;
import org.endivemux.consensus.Timing;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.UsageLedger;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.voter.Clocks;
import org.endivemux.control.voter.ControlService;
import org.endivemux.control.voter.EntryRegistry;
import org.endivemux.control.voter.FleetLoad;
import org.endivemux.control.voter.FullDiskRetry;
import org.endivemux.control.voter.LeaderTasks;
import org.endivemux.control.voter.PlatformClient;
import org.endivemux.control.voter.ServerDirectory;
import org.endivemux.control.voter.StreamRecorder;
import org.endivemux.control.voter.TrueTime;
import org.endivemux.control.voter.Voter;
import org.endivemux.control.voter.WindowCounts;
import org.endivemux.entry.Dispatcher;
import org.endivemux.entry.Entry;
import org.endivemux.entry.Lifecycle;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.routing.Scheduler;
import org.endivemux.routing.SelectionPolicies;
import org.endivemux.routing.fleet.PartQuarantine;
import org.endivemux.storage.DataFolder;
import org.endivemux.wire.Hello;
import org.endivemux.wire.LinkMetrics;
import org.endivemux.wire.LinkTiming;
import org.endivemux.wire.MessagePackCodec;
import org.endivemux.wire.PeerLink;
import org.endivemux.wire.PeerSecurity;
import org.endivemux.wire.PeerServer;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * Assembles the components of one process: always an entry, and also a voter if a data folder is
 * configured.
 *
 * <p>Started and stopped by one thread.
 */
public final class Daemon {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Settings settings;
  private final Clocks clocks;
  private final Consumer<Throwable> fatal;
  private final MetricRegistry metrics = new MetricRegistry();
  private final LinkMetrics linkMetrics = LinkMetrics.of(metrics);
  private final Lifecycle lifecycle = new Lifecycle();
  private final Hello hello;
  private final PeerSecurity security;
  private final Map<VmId, PeerLink> voterLinks;
  private final Dispatcher dispatcher;
  private final Optional<Voter> voter;
  private final Optional<ControlService> service;
  private final Optional<LeaderTasks> leaderTasks;
  private final ViewFollower follower;
  private final Entry entry;
  private final DigestExchange digests;
  private volatile DisposableServer httpListener;

  public Daemon(Settings settings, Clocks clocks, Consumer<Throwable> fatal) {
    this.settings = settings;
    this.clocks = clocks;
    this.fatal = fatal;
    this.hello = new Hello(Hello.VERSION, settings.vm(), incarnation(clocks));
    this.security =
        settings
            .tls()
            .map(tls -> PeerSecurity.of(tls.certificate(), tls.key(), tls.authority()))
            .orElseGet(PeerSecurity::none);
    this.voterLinks =
        settings.voters().entrySet().stream()
            .filter(voter -> !voter.getKey().equals(settings.vm()))
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey, voter -> link(voter.getValue(), LinkTiming.standard())));
    this.voter =
        settings
            .dataFolder()
            .map(folder -> DataFolder.open(folder, new FullDiskRetry(metrics)))
            .map(this::voter);
    EntryRegistry registry = new EntryRegistry();
    this.service =
        voter.map(
            ownVoter ->
                new ControlService(
                    settings.vm(),
                    ownVoter,
                    registry,
                    clocks,
                    new ServerDirectory(),
                    new WindowCounts(),
                    new TrueTime(clocks),
                    new FleetLoad(),
                    new PartQuarantine(),
                    new StreamRecorder(ownVoter, new TrueTime(clocks))));
    this.leaderTasks = service.map(this::leaderTasks);
    Map<VmId, ControlClient.VoterClient> voterClients = voterClients();
    ControlClient control =
        new ControlClient(
            voterClients::get, settings.voters().keySet(), voter.map(own -> settings.vm()));
    UsageLedger usage = new UsageLedger();
    this.follower =
        new ViewFollower(
            control,
            this::info,
            usage,
            new GatewaySyncState(
                clocks,
                settings.usageWindow().toMillis(),
                List::of,
                List::of,
                List::of,
                CrashNews::none),
            clocks);
    Scheduler scheduler =
        new Scheduler(settings.failureDomain(), SelectionPolicies.named(settings.policy()));
    this.dispatcher = new Dispatcher(scheduler, clocks::nanos);
    this.entry =
        new Entry(
            new Entry.Identity(settings.vm(), hello.incarnation(), settings.failureDomain()),
            control,
            follower,
            usage,
            dispatcher,
            lifecycle,
            settings.limits(),
            settings.operatorKeyDigest(),
            Daemon::exitAsync,
            clocks,
            metrics);
    this.digests =
        new DigestExchange(settings.vm(), follower::entries, dispatcher, this::digestLink);
  }

  private static Incarnation incarnation(Clocks clocks) {
    long started = clocks.millis();
    return new Incarnation(Long.toString(started, Character.MAX_RADIX) + pid());
  }

  private static String pid() {
    return "p" + ProcessHandle.current().pid();
  }

  private PeerLink link(InetSocketAddress address, LinkTiming timing) {
    return new PeerLink(address, hello, security, timing, linkMetrics).start();
  }

  private PeerLink digestLink(InetSocketAddress address) {
    return link(address, LinkTiming.relaxed());
  }

  private Voter voter(DataFolder folder) {
    BootstrapConfig bootstrap = BootstrapConfig.fixedVoters(settings.voters().keySet());
    return new Voter(
        settings.vm(), bootstrap, folder, Timing.standard(), clocks, this::send, fatal, metrics);
  }

  private void send(Envelope envelope) {
    Optional.ofNullable(voterLinks.get(envelope.to()))
        .filter(PeerLink::isOpen)
        .ifPresent(link -> link.send(PeerPayload.encode(PeerPayload.CONSENSUS, envelope)));
  }

  private LeaderTasks leaderTasks(ControlService controlService) {
    Voter own = voter.orElseThrow();
    Optional<PlatformClient> platform =
        settings.platform().map(address -> new PlatformClient(address, own::holdsLease));
    return new LeaderTasks(own, controlService, platform, clocks, settings.usageWindow(), metrics);
  }

  private Map<VmId, ControlClient.VoterClient> voterClients() {
    return settings.voters().keySet().stream()
        .collect(Collectors.toMap(vm -> vm, this::voterClient));
  }

  private ControlClient.VoterClient voterClient(VmId vm) {
    if (vm.equals(settings.vm())) {
      return ControlClient.local(service.orElseThrow()::handle);
    }
    PeerLink link = voterLinks.get(vm);
    return (request, timeout) ->
        link.request(MessagePackCodec.encode(request), timeout)
            .map(bytes -> MessagePackCodec.decode(bytes, ControlReply.class));
  }

  private EntryInfo info() {
    return new EntryInfo(
        settings.vm(),
        hello.incarnation(),
        settings.failureDomain(),
        addressText(settings.httpAddress()),
        addressText(settings.peerAddress()),
        lifecycle.isAnnounced() && !settings.controlOnly());
  }

  private static String addressText(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Exits on a separate thread; the shutdown hook drains the entry first. */
  private static void exitAsync() {
    new Thread(() -> System.exit(0), "exit").start();
  }

  /** Opens the ports and starts all components; throws if a port is in use. */
  public Daemon start() {
    PeerRouter router = new PeerRouter(voter, service, dispatcher, metrics);
    PeerServer peers =
        new PeerServer(settings.peerAddress(), router, security, LinkTiming.relaxed(), linkMetrics);
    peers.start();
    httpListener = entry.start(settings.httpAddress());
    voter.ifPresent(Voter::start);
    leaderTasks.ifPresent(LeaderTasks::start);
    dispatcher.start();
    follower.start();
    digests.start();
    logger.atInfo().log(
        "event=started vm=%s incarnation=%s http=%s peer=%s voter=%s",
        settings.vm(),
        hello.incarnation(),
        addressText(settings.httpAddress()),
        addressText(settings.peerAddress()),
        voter.isPresent());
    return this;
  }

  /** Drains the entry; completes when no request is in flight. */
  public Mono<Void> stop() {
    return entry.stop(httpListener);
  }
}
