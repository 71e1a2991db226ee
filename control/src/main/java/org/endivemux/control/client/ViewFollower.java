package org.endivemux.control.client;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.EntryView;
import org.endivemux.control.voter.Clocks;
import org.endivemux.control.voter.EntryRegistry;
import org.endivemux.control.voter.SuspensionGuard;
import org.endivemux.model.EntryInfo;
import org.endivemux.wire.Packed;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Keeps an entry's view of the replicated state up to date by polling the leader.
 *
 * <p>Invariants: the revision never decreases; the view counts as fresh for {@link
 * EntryRegistry#FRESHNESS} after the sending of the latest poll that a leader with a lease has
 * answered; a request is held for a new proof only if the last one expired less than {@link
 * #RENEWAL_WAIT} ago; usage is sent as soon as it arises, at most once per {@link
 * #USAGE_INTERVAL_PER_ENTRY} and entry of the system. Thread-safe.
 */
public final class ViewFollower implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration POLL_TIMEOUT = Duration.ofMillis(1500);

  /**
   * How far the timeouts of a poll grow while none is answered, so that a reply that takes longer
   * than a timeout is not asked for again forever. Links detect a leader that is gone sooner.
   */
  private static final int MAX_TIMEOUT_FACTOR = 8;

  private static final Duration POLL_PAUSE = Duration.ofMillis(20);

  /** A poll that finds nothing new takes less than half of this. */
  private static final Duration SLOW_POLL = Duration.ofSeconds(1);

  /**
   * Shortest interval between two polls with usage, for each entry of the system; it bounds the
   * rate at which the leader has to commit usage.
   */
  private static final Duration USAGE_INTERVAL_PER_ENTRY = Duration.ofMillis(2);

  /**
   * How long after its proof of freshness expired, or after its start, an entry holds requests for
   * the next proof. It covers the election of a new leader and one poll that was sent to the old
   * one.
   */
  private static final Duration RENEWAL_WAIT = EntryRegistry.FRESHNESS;

  private final ControlClient client;
  private final Supplier<EntryInfo> self;
  private final UsageLedger usage;
  private final GatewaySyncState gateway;
  private final Clocks clocks;
  private final SuspensionGuard guard;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

  /** Emits the leader's term for each reply; the view is fresh then unless the VM was suspended. */
  private final Sinks.Many<Long> proofs = Sinks.many().multicast().directBestEffort();

  private volatile State state;
  private volatile Disposable polling = () -> {};
  private volatile long usageDueAtNanos;
  private volatile int timeoutFactor = 1;

  /** When the last poll that was answered was sent, or the start. */
  private volatile long answeredAtNanos;

  public ViewFollower(
      ControlClient client,
      Supplier<EntryInfo> self,
      UsageLedger usage,
      GatewaySyncState gateway,
      Clocks clocks) {
    this.client = client;
    this.self = self;
    this.usage = usage;
    this.gateway = gateway;
    this.clocks = clocks;
    this.guard = clocks.guard();
    this.usageDueAtNanos = clocks.nanos();
    this.answeredAtNanos = clocks.nanos();
    this.state = new State(EntryView.empty(), List.of(), 0, clocks.nanos(), false);
  }

  /** Starts polling; returns at once. */
  public ViewFollower start() {
    polling =
        Mono.defer(this::pollOnce)
            .onErrorResume(this::logFailure)
            .then(Mono.delay(POLL_PAUSE))
            .repeat()
            .subscribe();
    return this;
  }

  private Mono<ControlReply> logFailure(Throwable error) {
    timeoutFactor = Math.min(2 * timeoutFactor, MAX_TIMEOUT_FACTOR);
    logger.atWarning().log("event=poll_failed cause=%s nextFactor=%d", error, timeoutFactor);
    return Mono.empty();
  }

  private Mono<ControlReply> pollOnce() {
    State before = state;
    Duration untilUsage = Duration.ofNanos(Math.max(0, usageDueAtNanos - clocks.nanos()));
    UsageLedger.Batch batch =
        untilUsage.isZero() ? usage.unacknowledged() : UsageLedger.Batch.none();
    if (batch.isEmpty()) {
      return poll(before, batch)
          .takeUntilOther(usage.awaitUnacknowledged().delayElement(untilUsage));
    }
    usageDueAtNanos = clocks.nanos() + before.entries().size() * USAGE_INTERVAL_PER_ENTRY.toNanos();
    return poll(before, batch);
  }

  private Mono<ControlReply> poll(State before, UsageLedger.Batch batch) {
    return Mono.defer(
            () -> {
              long sentAtNanos = clocks.nanos();
              int factor = timeoutFactor;
              ControlRequest.Poll poll = request(before, batch, sentAtNanos);
              return client
                  .ask(
                      poll,
                      POLL_TIMEOUT.multipliedBy(factor),
                      ControlClient.ATTEMPT_TIMEOUT.multipliedBy(factor))
                  .doOnNext(reply -> applyReply(poll, (ControlReply.PollReply) reply, sentAtNanos));
            })
        .doOnNext(reply -> usage.acknowledge(batch, ((ControlReply.PollReply) reply).term()));
  }

  private ControlRequest.Poll request(State before, UsageLedger.Batch batch, long nowNanos) {
    return new ControlRequest.Poll(
        self.get(),
        before.view().revision(),
        before.entriesNumber(),
        batch.lines(),
        gateway.poll(),
        Duration.ofNanos(nowNanos - answeredAtNanos).toMillis());
  }

  private void applyReply(
      ControlRequest.Poll poll, ControlReply.PollReply reply, long sentAtNanos) {
    timeoutFactor = 1;
    answeredAtNanos = sentAtNanos;
    gateway.applyReply(poll.gateway(), reply.gateway());
    client.setVoters(reply.gateway().voters());
    State before = state;
    EntryView view = before.view().apply(reply.update());
    if (view.revision() < before.view().revision()) {
      logger.atSevere().log(
          "event=view_reverted have=%d offered=%d", before.view().revision(), view.revision());
      return;
    }
    if (before.view().revision() == 0 && view.revision() > 0) {
      logger.atInfo().log(
          "event=first_view revision=%d changes=%d whole=%s",
          view.revision(), reply.update().changes().size(), reply.update().whole().isPresent());
    }
    long tookNanos = clocks.nanos() - sentAtNanos;
    if (tookNanos > SLOW_POLL.toNanos()) {
      logger.atInfo().log(
          "event=slow_poll tookMillis=%d revision=%d changes=%d",
          Duration.ofNanos(tookNanos).toMillis(), view.revision(), reply.update().changes().size());
    }
    boolean suspended = guard.ranAhead();
    state =
        new State(
            view,
            reply.entries().map(ViewFollower::unpack).orElse(before.entries()),
            reply.entriesNumber(),
            sentAtNanos + EntryRegistry.FRESHNESS.toNanos(),
            !suspended);
    proofs.emitNext(reply.term(), Sinks.EmitFailureHandler.FAIL_FAST);
    if (view != before.view()) {
      listeners.forEach(Runnable::run);
    }
  }

  private static List<EntryInfo> unpack(Packed entries) {
    return List.of(entries.unpack(EntryInfo[].class));
  }

  /** Returns the latest view, fresh or not. */
  public EntryView view() {
    return state.view();
  }

  /** Returns the live entries according to the leader's latest reply. */
  public List<EntryInfo> entries() {
    return state.entries();
  }

  /** Returns whether decisions may be based on the view at this instant. */
  public boolean isFresh() {
    if (guard.ranAhead()) {
      state = state.distrust();
    }
    State current = state;
    return current.trusted() && current.freshUntilNanos() - clocks.nanos() > 0;
  }

  /**
   * Completes with whether the view is fresh: at once if it is or if the last proof expired long
   * ago, otherwise as soon as a new proof arrives or the wait for one ends.
   */
  public Mono<Boolean> awaitFresh() {
    return Mono.defer(() -> isFresh() ? Mono.just(true) : awaitProof());
  }

  private Mono<Boolean> awaitProof() {
    long waitNanos = state.freshUntilNanos() + RENEWAL_WAIT.toNanos() - clocks.nanos();
    if (waitNanos <= 0) {
      return Mono.just(false);
    }
    // The second source catches a proof that arrived just before the subscription.
    return Flux.merge(proofs.asFlux(), Mono.just(0L))
        .filter(proof -> isFresh())
        .next()
        .hasElement()
        .timeout(Duration.ofNanos(waitNanos), Mono.fromSupplier(this::isFresh));
  }

  /** Adds a listener for changes of the view; it must not block. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  @Override
  public void close() {
    polling.dispose();
  }

  private record State(
      EntryView view,
      List<EntryInfo> entries,
      long entriesNumber,
      long freshUntilNanos,
      boolean trusted) {
    State distrust() {
      return new State(view, entries, entriesNumber, freshUntilNanos, false);
    }
  }
}
