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
 * Runs the gateway's leader tasks: reads the list of backend servers, reports usage windows and
 * orders capacity.
 *
 * <p>Invariants: a window's figures are committed before they are reported; orders hold absolute
 * numbers; runs of the same task do not overlap; a new leader reports and orders only after the
 * calls of earlier leaders have ended. Thread-safe.
 */
public final class GatewayLeaderTasks implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TASK_INTERVAL = Duration.ofMillis(250);
  private static final Duration TASK_TIMEOUT = Duration.ofSeconds(4);

  /** How long a new leader waits with reports and orders; earlier leaders send none after this. */
  private static final long TAKEOVER_DELAY_NANOS = Duration.ofSeconds(2).toNanos();

  private static final long ORDER_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

  /** An unchanged order is repeated after this, because the platform's response may be lost. */
  private static final long REPEAT_ORDER_NANOS = Duration.ofSeconds(10).toNanos();

  /**
   * Orders wait until the list has not changed for this long: while it still grows, as when all
   * servers start together, it is no basis for orders.
   */
  private static final long LIST_SETTLED_NANOS = Duration.ofMillis(1600).toNanos();

  /**
   * Orders wait no longer than this after the start of a term: a list that still changes then does
   * so for another reason.
   */
  private static final long MAX_LIST_SETTLING_NANOS = Duration.ofSeconds(7).toNanos();

  /** Time after a window's end in which entries send its last counts. */
  private static final long LAST_COUNTS_MILLIS = 600;

  /** How long after its end a window waits at most for an entry that sends no counts. */
  private static final long MAX_COUNTS_WAIT_MILLIS = 6000;

  private final Voter voter;
  private final ControlService service;
  private final PlatformPort platform;
  private final ServerDirectory directory;
  private final ServerListReader list;
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
  private volatile Disposable schedule = () -> {};
  private volatile long leaderTerm = -1;
  private volatile long leaderSince;
  private volatile long orderedAt = Long.MIN_VALUE / 2;

  /** Decides how many backend servers of each kind are wanted. Thread-safe. */
  public interface CapacityTargets {
    List<CapacityOrder> wanted(ControlState state, List<GatewayServer> servers, long now);
  }

  public GatewayLeaderTasks(
      Voter voter,
      ControlService service,
      PlatformPort platform,
      ServerDirectory directory,
      StreamRecorder streams,
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
    this.list =
        new ServerListReader(platform, directory, streams, time, clocks, service::wakePolls);
    this.counts = counts;
    this.time = time;
    this.clocks = clocks;
    this.windowMillis = window.toMillis();
    this.targets = targets;
    this.metrics = metrics;
  }

  /** Starts to run the tasks periodically; returns at once. */
  public GatewayLeaderTasks start() {
    schedule = Flux.interval(TASK_INTERVAL).onBackpressureDrop().subscribe(tick -> runTasks());
    return this;
  }

  private void runTasks() {
    if (!voter.holdsLease()) {
      return;
    }
    updateTerm();
    service.removeSilentEntries();
    runUnlessBusy(listing, "list", () -> list.readIfDue(leaderTerm, leaderSince));
    if (clocks.nanos() - leaderSince > TAKEOVER_DELAY_NANOS) {
      runUnlessBusy(reporting, "usage", this::reportUsage);
    }
    if (isListSettled()) {
      runUnlessBusy(ordering, "orders", this::order);
    }
  }

  private boolean isListSettled() {
    long now = clocks.nanos();
    boolean settled =
        now - list.changedAt() > LIST_SETTLED_NANOS || now - leaderSince > MAX_LIST_SETTLING_NANOS;
    return now - leaderSince > TAKEOVER_DELAY_NANOS && settled;
  }

  private void updateTerm() {
    long term = voter.status().term();
    if (term != leaderTerm) {
      leaderTerm = term;
      leaderSince = clocks.nanos();
      ordered.clear();
    }
  }

  private void runUnlessBusy(AtomicBoolean busy, String task, Supplier<Mono<Void>> work) {
    if (!busy.compareAndSet(false, true)) {
      return;
    }
    Mono.defer(work)
        .timeout(TASK_TIMEOUT)
        .doFinally(signal -> busy.set(false))
        .subscribe(
            done -> {},
            error -> {
              metrics.counter("platform." + task + ".failed").inc();
              logger.atWarning().log("event=duty_failed duty=%s cause=\"%s\"", task, error);
            });
  }

  private Mono<Void> reportUsage() {
    return Mono.fromFuture(voter.read(this::windowToFix))
        .filter(OptionalLong::isPresent)
        .flatMap(window -> fix(window.getAsLong()))
        .then(Mono.fromFuture(() -> voter.read(state -> state.windowReports().firstUnsent())))
        .flatMap(Mono::justOrEmpty)
        .flatMap(this::send);
  }

  /** Returns the next window, if its figures can be fixed now. */
  private OptionalLong windowToFix(ControlState state) {
    OptionalLong latest = state.windowReports().latest();
    OptionalLong next =
        latest.isPresent() ? OptionalLong.of(latest.getAsLong() + 1) : counts.first();
    return next.isPresent() && canBeFixed(next.getAsLong()) ? next : OptionalLong.empty();
  }

  private boolean canBeFixed(long window) {
    long end = (window + 1) * windowMillis;
    long sinceEnd = time.millis() - end;
    List<EntryInfo> entries = service.entries();
    boolean complete = !entries.isEmpty() && counts.isComplete(entries, end + LAST_COUNTS_MILLIS);
    return sinceEnd > LAST_COUNTS_MILLIS && (complete || sinceEnd > MAX_COUNTS_WAIT_MILLIS);
  }

  private Mono<Void> fix(long window) {
    return Mono.fromFuture(voter.submit(new Command.FinaliseWindow(window, counts.total(window))))
        .then();
  }

  private Mono<Void> send(FinalWindow fixed) {
    return platform
        .report(fixed.window(), fixed.requests(), leaderTerm)
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
    if (now - orderedAt < ORDER_INTERVAL_NANOS) {
      return Mono.empty();
    }
    orderedAt = now;
    return Mono.fromFuture(
            voter.read(state -> targets.wanted(state, directory.servers(), clocks.nanos())))
        .flatMapIterable(orders -> orders)
        .filter(wanted -> isDue(wanted, now))
        .concatMap(wanted -> order(wanted, now))
        .then();
  }

  private boolean isDue(CapacityOrder wanted, long now) {
    return Optional.ofNullable(ordered.get(wanted))
        .filter(at -> now - at < REPEAT_ORDER_NANOS)
        .isEmpty();
  }

  private Mono<Verdict> order(CapacityOrder wanted, long now) {
    return platform
        .order(wanted, leaderTerm)
        .doOnNext(
            verdict -> {
              logger.atInfo().log(
                  "event=capacity_ordered service=%s domain=%s kind=%s count=%d verdict=%s",
                  wanted.service(), wanted.failureDomain(), wanted.kind(), wanted.count(), verdict);
              if (verdict == Verdict.ACCEPTED) {
                ordered.keySet().removeIf(known -> isSameTarget(known, wanted));
                ordered.put(wanted, now);
              }
            });
  }

  private static boolean isSameTarget(CapacityOrder one, CapacityOrder other) {
    return one.service().equals(other.service())
        && one.failureDomain().equals(other.failureDomain())
        && one.kind() == other.kind();
  }

  @Override
  public void close() {
    schedule.dispose();
  }
}
