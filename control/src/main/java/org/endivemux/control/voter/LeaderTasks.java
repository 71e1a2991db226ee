package org.endivemux.control.voter;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.state.Order;
import org.endivemux.control.state.OrderState;
import org.endivemux.control.state.UsageWindow;
import org.endivemux.model.BackendServerId;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Does what only the leader may do: orders, usage reports, and the platform's leaving list.
 *
 * <p>Invariants: an order is committed as an intent before it is sent and a window's figures before
 * they are reported; a new leader first waits until the lease before its own and the longest order
 * on its way have ended; rounds do not overlap. Thread-safe.
 */
public final class LeaderTasks implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration ROUND = Duration.ofMillis(500);
  private static final Duration ROUND_LIMIT = Duration.ofSeconds(10);

  /** An earlier leader's lease and its last order have ended after this. */
  private static final Duration QUIET = PlatformClient.LIMIT.plusSeconds(1);

  private final Voter voter;
  private final ControlService service;
  private final UsageInbox usage;
  private final Optional<PlatformClient> platform;
  private final Clocks clocks;
  private final Duration window;
  private final MetricRegistry metrics;
  private final AtomicBoolean busy = new AtomicBoolean();
  private volatile Disposable rounds = () -> {};
  private volatile long ledTerm = -1;
  private volatile long ledSince;
  private volatile long windowOpenedAt;

  public LeaderTasks(
      Voter voter,
      ControlService service,
      UsageInbox usage,
      Optional<PlatformClient> platform,
      Clocks clocks,
      Duration window,
      MetricRegistry metrics) {
    this.voter = voter;
    this.service = service;
    this.usage = usage;
    this.platform = platform;
    this.clocks = clocks;
    this.window = window;
    this.metrics = metrics;
  }

  /** Starts the rounds; returns at once. */
  public LeaderTasks start() {
    rounds = Flux.interval(ROUND).onBackpressureDrop().subscribe(tick -> round());
    return this;
  }

  private void round() {
    if (!voter.holdsLease() || !busy.compareAndSet(false, true)) {
      return;
    }
    noteTerm();
    service.removeSilentEntries();
    Mono.when(commitUsage())
        .then(Mono.defer(this::closeWindow))
        .then(Mono.defer(this::talkToPlatform))
        .timeout(ROUND_LIMIT)
        .doFinally(signal -> busy.set(false))
        .subscribe(
            done -> {}, error -> logger.atWarning().log("event=duties_failed cause=%s", error));
  }

  private void noteTerm() {
    long term = voter.status().term();
    if (term != ledTerm) {
      ledTerm = term;
      ledSince = clocks.nanos();
      windowOpenedAt = clocks.nanos();
    }
  }

  private boolean isQuiet() {
    return clocks.nanos() - ledSince > QUIET.toNanos();
  }

  private Flux<Object> commitUsage() {
    return Flux.fromIterable(usage.drain())
        .flatMap(command -> Mono.fromFuture(voter.submit(command)));
  }

  private Mono<Void> closeWindow() {
    if (clocks.nanos() - windowOpenedAt < window.toNanos()) {
      return Mono.empty();
    }
    windowOpenedAt = clocks.nanos();
    return Mono.fromFuture(voter.read(ControlState::openWindow))
        .flatMap(number -> Mono.fromFuture(voter.submit(new Command.CloseWindow(number))))
        .then();
  }

  private Mono<Void> talkToPlatform() {
    if (platform.isEmpty() || !isQuiet()) {
      return Mono.empty();
    }
    PlatformClient client = platform.get();
    return readLeaving(client)
        .then(Mono.defer(() -> sendOrders(client)))
        .then(Mono.defer(() -> reportWindow(client)));
  }

  private Mono<Void> readLeaving(PlatformClient client) {
    return client
        .list()
        .flatMap(listing -> markLeaving(listing.servers()))
        .onErrorResume(
            error -> {
              metrics.counter("platform.listFailed").inc();
              return Mono.empty();
            });
  }

  private Mono<Void> markLeaving(List<PlatformClient.Listed> servers) {
    List<BackendServerId> leaving =
        servers.stream()
            .filter(PlatformClient.Listed::leaving)
            .map(PlatformClient.Listed::id)
            .toList();
    return Mono.fromFuture(voter.read(state -> news(state, leaving)))
        .filter(fresh -> !fresh.isEmpty())
        .map(fresh -> new Command.SetLeaving(fresh, true, "platform"))
        .flatMap(command -> Mono.fromFuture(voter.submit(command)))
        .then();
  }

  private static List<BackendServerId> news(ControlState state, List<BackendServerId> leaving) {
    return leaving.stream().filter(id -> !state.view().isLeaving(id)).toList();
  }

  private Mono<Void> sendOrders(PlatformClient client) {
    return Mono.fromFuture(voter.read(ControlState::orders))
        .flatMapIterable(orders -> orders)
        .filter(order -> order.state() == OrderState.INTENDED)
        .concatMap(order -> sendOrder(client, order))
        .then();
  }

  private Mono<Void> sendOrder(PlatformClient client, Order order) {
    return client
        .order(order, ledTerm)
        .filter(PlatformClient.Reply::isFinal)
        .map(
            reply -> new Command.CloseOrder(order.intent().order(), reply.accepted(), reply.text()))
        .flatMap(command -> Mono.fromFuture(voter.submit(command)))
        .doOnError(error -> metrics.counter("platform.orderFailed").inc())
        .then();
  }

  private Mono<Void> reportWindow(PlatformClient client) {
    return Mono.fromFuture(voter.read(ControlState::firstUnreported))
        .flatMap(Mono::justOrEmpty)
        .flatMap(unreported -> report(client, unreported));
  }

  private Mono<Void> report(PlatformClient client, UsageWindow unreported) {
    return client
        .report(unreported, ledTerm)
        .filter(PlatformClient.Reply::accepted)
        .flatMap(
            reply -> Mono.fromFuture(voter.submit(new Command.MarkReported(unreported.number()))))
        .doOnError(error -> metrics.counter("platform.reportFailed").inc())
        .then();
  }

  @Override
  public void close() {
    rounds.dispose();
  }
}
