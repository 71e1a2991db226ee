package org.endivemux.control.voter;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.state.WindowReports.FinalWindow;
import org.endivemux.control.voter.PlatformPort.CapacityOrder;
import org.endivemux.control.voter.PlatformPort.Verdict;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.gateway.GatewayServer;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Does for the gateway what only the leader may do: reads the list of backend servers, reports
 * usage windows and orders capacity.
 *
 * <p>Invariants: a window's figures are committed before they are reported; orders hold absolute
 * numbers; rounds of one duty do not overlap; a new leader reports and orders only after the calls
 * of the one before it have ended. Thread-safe.
 */
public final class GatewayDuties implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration ROUND = Duration.ofMillis(250);
  private static final Duration ROUND_LIMIT = Duration.ofSeconds(4);

  /** Calls of an earlier leader are not sent any more after this. */
  private static final long QUIET_NANOS = Duration.ofSeconds(2).toNanos();

  /** Shorter than the lag of the list, so that reading adds little to it. */
  private static final long LIST_NANOS = Duration.ofMillis(700).toNanos();

  private static final long ORDER_NANOS = Duration.ofSeconds(1).toNanos();

  /** An order with no change is repeated after this, since the platform's answer may be lost. */
  private static final long REPEAT_ORDER_NANOS = Duration.ofSeconds(10).toNanos();

  /** A list that still grows, as when all servers start together, is no ground for orders. */
  private static final long SETTLED_NANOS = Duration.ofMillis(1600).toNanos();

  /** A list that changes for this long changes for another reason. */
  private static final long LONGEST_UNSETTLED_NANOS = Duration.ofSeconds(7).toNanos();

  /** Time after a window's end in which entries send its last counts. */
  private static final long SETTLE_MILLIS = 600;

  /** A window waits no longer than this for an entry that sends nothing. */
  private static final long PATIENCE_MILLIS = 6000;

  private final Voter voter;
  private final ControlService service;
  private final PlatformPort platform;
  private final ServerDirectory directory;
  private final WindowCounts counts;
  private final TrueTime time;
  private final Clocks clocks;
  private final long windowMillis;
  private final CapacityTargets targets;
  private final MetricRegistry metrics;
  private final AtomicBoolean listing = new AtomicBoolean();
  private final AtomicBoolean reporting = new AtomicBoolean();
  private final AtomicBoolean ordering = new AtomicBoolean();
  private final Map<CapacityOrder, Long> ordered = new HashMap<>();
  private volatile Disposable rounds = () -> {};
  private volatile long ledTerm = -1;
  private volatile long ledSince;
  private volatile long listedAt = Long.MIN_VALUE / 2;
  private volatile long listChangedAt = Long.MIN_VALUE / 2;
  private volatile long orderedAt = Long.MIN_VALUE / 2;

  /** Decides how many backend servers of each kind are wanted. Thread-safe. */
  public interface CapacityTargets {
    List<CapacityOrder> wanted(ControlState state, List<GatewayServer> servers, long now);
  }

  public GatewayDuties(
      Voter voter,
      ControlService service,
      PlatformPort platform,
      ServerDirectory directory,
      WindowCounts counts,
      TrueTime time,
      Clocks clocks,
      Duration window,
      CapacityTargets targets,
      MetricRegistry metrics) {
    this.voter = voter;
    this.service = service;
    this.platform = platform;
    this.directory = directory;
    this.counts = counts;
    this.time = time;
    this.clocks = clocks;
    this.windowMillis = window.toMillis();
    this.targets = targets;
    this.metrics = metrics;
  }

  /** Starts the rounds; returns at once. */
  public GatewayDuties start() {
    rounds = Flux.interval(ROUND).onBackpressureDrop().subscribe(tick -> round());
    return this;
  }

  private void round() {
    if (!voter.holdsLease()) {
      return;
    }
    noteTerm();
    service.removeSilentEntries();
    runOnce(listing, "list", this::readList);
    if (clocks.nanos() - ledSince > QUIET_NANOS) {
      runOnce(reporting, "usage", this::reportUsage);
    }
    if (isListSettled()) {
      runOnce(ordering, "orders", this::order);
    }
  }

  private boolean isListSettled() {
    long now = clocks.nanos();
    boolean settled =
        now - listChangedAt > SETTLED_NANOS || now - ledSince > LONGEST_UNSETTLED_NANOS;
    return now - ledSince > QUIET_NANOS && settled;
  }

  private void noteTerm() {
    long term = voter.status().term();
    if (term != ledTerm) {
      ledTerm = term;
      ledSince = clocks.nanos();
      ordered.clear();
    }
  }

  private void runOnce(AtomicBoolean busy, String duty, Supplier<Mono<Void>> work) {
    if (!busy.compareAndSet(false, true)) {
      return;
    }
    Mono.defer(work)
        .timeout(ROUND_LIMIT)
        .doFinally(signal -> busy.set(false))
        .subscribe(
            done -> {},
            error -> {
              metrics.counter("platform." + duty + ".failed").inc();
              logger.atWarning().log("event=duty_failed duty=%s cause=\"%s\"", duty, error);
            });
  }

  private Mono<Void> readList() {
    if (clocks.nanos() - listedAt < LIST_NANOS) {
      return Mono.empty();
    }
    listedAt = clocks.nanos();
    long term = ledTerm;
    return platform.servers().doOnNext(servers -> takeList(term, servers)).then();
  }

  private void takeList(long term, List<GatewayServer> servers) {
    if (directory.replace(term, servers)) {
      listChangedAt = clocks.nanos();
      logger.atInfo().log(
          "event=servers_changed term=%d count=%d leaving=%d",
          term, servers.size(), servers.stream().filter(GatewayServer::leaving).count());
      service.announce();
    }
  }

  private Mono<Void> reportUsage() {
    return Mono.fromFuture(voter.read(this::nextWindow))
        .filter(OptionalLong::isPresent)
        .flatMap(window -> fix(window.getAsLong()))
        .then(Mono.fromFuture(() -> voter.read(state -> state.windowReports().firstUnsent())))
        .flatMap(Mono::justOrEmpty)
        .flatMap(this::send);
  }

  /** Returns the window whose figures can be fixed now. */
  private OptionalLong nextWindow(ControlState state) {
    OptionalLong latest = state.windowReports().latest();
    OptionalLong next =
        latest.isPresent() ? OptionalLong.of(latest.getAsLong() + 1) : counts.first();
    return next.isPresent() && isSettled(next.getAsLong()) ? next : OptionalLong.empty();
  }

  private boolean isSettled(long window) {
    long end = (window + 1) * windowMillis;
    long sinceEnd = time.millis() - end;
    List<EntryInfo> entries = service.entries();
    boolean complete = !entries.isEmpty() && counts.isComplete(entries, end + SETTLE_MILLIS);
    return sinceEnd > SETTLE_MILLIS && (complete || sinceEnd > PATIENCE_MILLIS);
  }

  private Mono<Void> fix(long window) {
    return Mono.fromFuture(voter.submit(new Command.FinaliseWindow(window, counts.total(window))))
        .then();
  }

  private Mono<Void> send(FinalWindow fixed) {
    return platform
        .report(fixed.window(), fixed.requests(), ledTerm)
        .doOnNext(
            verdict ->
                logger.atInfo().log(
                    "event=usage_reported window=%d organisations=%d verdict=%s",
                    fixed.window(), fixed.requests().size(), verdict))
        .filter(Verdict.ACCEPTED::equals)
        .flatMap(
            accepted -> Mono.fromFuture(voter.submit(new Command.MarkWindowSent(fixed.window()))))
        .then();
  }

  private Mono<Void> order() {
    long now = clocks.nanos();
    if (now - orderedAt < ORDER_NANOS) {
      return Mono.empty();
    }
    orderedAt = now;
    return Mono.fromFuture(
            voter.read(state -> targets.wanted(state, directory.servers(), clocks.nanos())))
        .flatMapIterable(orders -> orders)
        .filter(wanted -> isNews(wanted, now))
        .concatMap(wanted -> order(wanted, now))
        .then();
  }

  private boolean isNews(CapacityOrder wanted, long now) {
    return Optional.ofNullable(ordered.get(wanted))
        .filter(at -> now - at < REPEAT_ORDER_NANOS)
        .isEmpty();
  }

  private Mono<Verdict> order(CapacityOrder wanted, long now) {
    return platform
        .order(wanted, ledTerm)
        .doOnNext(
            verdict -> {
              logger.atInfo().log(
                  "event=capacity_ordered service=%s domain=%s kind=%s count=%d verdict=%s",
                  wanted.service(), wanted.failureDomain(), wanted.kind(), wanted.count(), verdict);
              if (verdict == Verdict.ACCEPTED) {
                ordered.keySet().removeIf(known -> isSameSubject(known, wanted));
                ordered.put(wanted, now);
              }
            });
  }

  private static boolean isSameSubject(CapacityOrder one, CapacityOrder other) {
    return one.service().equals(other.service())
        && one.failureDomain().equals(other.failureDomain())
        && one.kind() == other.kind();
  }

  @Override
  public void close() {
    rounds.dispose();
  }
}
