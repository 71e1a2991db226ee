package org.endivemux.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.client.UsageLedger;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.control.state.EntryView;
import org.endivemux.control.voter.Clocks;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Declaration;
import org.endivemux.model.DeclarationIndex;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.VmId;
import org.endivemux.routing.RetryBudget;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * Implements the entry role of a process: serves callers according to the replicated view.
 *
 * <p>Invariant: at shutdown, it first removes itself from the list of entries, serves until cached
 * copies of that list have expired, then closes the port and waits for all requests in flight, up
 * to the drain limit. Thread-safe.
 */
public final class Entry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(20);

  private final ViewFollower follower;
  private final Dispatcher dispatcher;
  private final InFlight inFlight = new InFlight();
  private final Lifecycle lifecycle;
  private final Limits limits;
  private final Authenticator authenticator;
  private final EntryServer server;
  private volatile DeclarationIndex declared =
      new DeclarationIndex(EntryView.empty().declaration());

  private volatile long declaredVersion;

  /** Identifies the process that an entry belongs to. Immutable and thread-safe. */
  public record Identity(VmId vm, Incarnation incarnation, FailureDomain failureDomain) {}

  public Entry(
      Identity identity,
      ControlClient control,
      ViewFollower follower,
      UsageLedger usage,
      Dispatcher dispatcher,
      Lifecycle lifecycle,
      Limits limits,
      Optional<KeyDigest> bootstrapOperator,
      Runnable drain,
      Clocks clocks,
      MetricRegistry metrics) {
    this.follower = follower;
    this.dispatcher = dispatcher;
    this.lifecycle = lifecycle;
    this.limits = limits;
    this.authenticator = new Authenticator(follower::view, bootstrapOperator);
    Counters counters = new Counters(metrics);
    Admission admission = new Admission(authenticator, () -> declared, follower, lifecycle::isOpen);
    AttemptRunner attempts =
        new AttemptRunner(dispatcher, new RetryBudget(), counters, clocks::nanos);
    BackendClient client = new BackendClient(limits, counters);
    ChatHandler chat =
        new ChatHandler(
            admission, attempts, client, inFlight, usage, counters, limits, clocks::nanos);
    ServiceHandler services =
        new ServiceHandler(
            admission,
            attempts,
            new AtMostOnce(control, attempts, client, limits),
            client,
            inFlight,
            usage,
            counters,
            limits,
            clocks::nanos,
            identity.vm(),
            identity.incarnation());
    EntriesHandler entries =
        new EntriesHandler(
            identity.vm(),
            identity.failureDomain(),
            follower::entries,
            () -> follower.isFresh() && lifecycle.isAnnounced(),
            limits.entriesLifetime());
    OperatorHandler operators = new OperatorHandler(authenticator, control, limits, drain);
    EntryParts parts =
        new EntryParts(chat, services, operators, entries, admission, counters, limits);
    this.server = new EntryServer(parts, identity.vm(), identity.incarnation());
    metrics.register("entry.inFlight", (Gauge<Integer>) inFlight::size);
    metrics.register("entry.waiting", (Gauge<Integer>) dispatcher::waitingCount);
    metrics.register("entry.fresh", (Gauge<Integer>) () -> follower.isFresh() ? 1 : 0);
    metrics.register("entry.version", (Gauge<Long>) () -> follower.view().version());
    metrics.register("entry.revision", (Gauge<Long>) () -> follower.view().revision());
    follower.onChange(this::onViewChanged);
  }

  private void onViewChanged() {
    EntryView view = follower.view();
    if (view.version() != declaredVersion) {
      declaredVersion = view.version();
      declared = new DeclarationIndex(view.declaration());
      logger.atInfo().log("event=configured version=%d", view.version());
    }
    Set<BackendServerId> evacuated =
        view.declaration().backendServers().stream()
            .filter(server -> view.evacuated().contains(server.failureDomain()))
            .map(Declaration.BackendServer::id)
            .collect(Collectors.toSet());
    dispatcher.configure(declared, id -> view.isLeaving(id) || evacuated.contains(id));
    inFlight.endWithdrawn(authenticator);
  }

  /** Starts the HTTP listener. */
  public DisposableServer start(InetSocketAddress address) {
    return server.start(address);
  }

  /** Drains and stops; completes when no request is in flight or the drain limit is reached. */
  public Mono<Void> stop(DisposableServer listener) {
    return Mono.fromRunnable(() -> lifecycle.fire(LifecycleEvent.STOP_ASKED))
        .then(Mono.delay(limits.entriesLifetime()))
        .doOnNext(
            tick -> {
              lifecycle.fire(LifecycleEvent.ANSWERS_EXPIRED);
              var unused = listener.channel().close();
            })
        .then(Mono.defer(this::awaitIdle))
        .doOnSuccess(done -> lifecycle.fire(LifecycleEvent.IDLE));
  }

  private Mono<Void> awaitIdle() {
    return Flux.interval(Duration.ZERO, IDLE_CHECK_INTERVAL)
        .onBackpressureDrop()
        .filter(tick -> inFlight.size() == 0)
        .next()
        .timeout(limits.drain(), Mono.just(0L))
        .then();
  }
}
