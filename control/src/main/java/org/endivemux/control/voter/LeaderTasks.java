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
 * Runs the leader's tasks: sends orders, reports usage windows, and marks the backend servers that
 * the platform lists as leaving.
 *
 * <p>Invariants: an order is committed as an intent before it is sent and a window's figures before
 * they are reported; a new leader calls the platform only after the previous lease and the longest
 * order in transit have ended; runs do not overlap. Thread-safe.
 */
public final class LeaderTasks implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RUN_INTERVAL = Duration.ofMillis(500);
  private static final Duration RUN_TIMEOUT = Duration.ofSeconds(10);

  /** How long a new leader waits until an earlier leader's lease and last order have ended. */
  private static final Duration TAKEOVER_DELAY = PlatformClient.CALL_TIMEOUT.plusSeconds(1);

  private final Voter voter;
  private final ControlService service;
  private final Optional<PlatformClient> platform;
  private final Clocks clocks;
  private final Duration window;
  private final MetricRegistry metrics;
  private final AtomicBoolean busy = new AtomicBoolean();
  private volatile Disposable schedule = () -> {};
  private volatile long leaderTerm = -1;
  private volatile long leaderSince;
  private volatile long windowOpenedAt;

  public LeaderTasks(
      Voter voter,
      ControlService service,
      Optional<PlatformClient> platform,
      Clocks clocks,
      Duration window,
      MetricRegistry metrics) {
    this.voter = voter;
    this.service = service;
    this.platform = platform;
    this.clocks = clocks;
    this.window = window;
    this.metrics = metrics;
  }

  /** Starts to run the tasks periodically; returns at once. */
  public LeaderTasks start() {
    schedule = Flux.interval(RUN_INTERVAL).onBackpressureDrop().subscribe(tick -> runTasks());
    return this;
  }

  private void runTasks() {
    if (!voter.holdsLease() || !busy.compareAndSet(false, true)) {
      return;
    }
    updateTerm();
    service.removeSilentEntries();
    Mono.defer(this::closeWindow)
        .then(Mono.defer(this::callPlatform))
        .timeout(RUN_TIMEOUT)
        .doFinally(signal -> busy.set(false))
        .subscribe(
            done -> {}, error -> logger.atWarning().log("event=duties_failed cause=%s", error));
  }

  private void updateTerm() {
    long term = voter.status().term();
    if (term != leaderTerm) {
      leaderTerm = term;
      leaderSince = clocks.nanos();
      windowOpenedAt = clocks.nanos();
    }
  }

  private boolean isTakeoverDelayOver() {
    return clocks.nanos() - leaderSince > TAKEOVER_DELAY.toNanos();
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

  private Mono<Void> callPlatform() {
    if (platform.isEmpty() || !isTakeoverDelayOver()) {
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
    return Mono.fromFuture(voter.read(state -> notYetMarked(state, leaving)))
        .filter(unmarked -> !unmarked.isEmpty())
        .map(unmarked -> new Command.SetLeaving(unmarked, true, "platform"))
        .flatMap(command -> Mono.fromFuture(voter.submit(command)))
        .then();
  }

  private static List<BackendServerId> notYetMarked(
      ControlState state, List<BackendServerId> leaving) {
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
        .order(order, leaderTerm)
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
        .report(unreported, leaderTerm)
        .filter(PlatformClient.Reply::accepted)
        .flatMap(
            reply -> Mono.fromFuture(voter.submit(new Command.MarkReported(unreported.number()))))
        .doOnError(error -> metrics.counter("platform.reportFailed").inc())
        .then();
  }

  @Override
  public void close() {
    schedule.dispose();
  }
}
