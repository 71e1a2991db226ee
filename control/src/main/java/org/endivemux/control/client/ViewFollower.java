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
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Keeps an entry's view of the replicated state fresh.
 *
 * <p>Invariants: the revision never falls; the view counts as fresh for {@link
 * EntryRegistry#FRESHNESS} from the moment at which a poll was sent that a leader with a lease
 * answered. Thread-safe.
 */
public final class ViewFollower implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration POLL_LIMIT = Duration.ofMillis(1500);
  private static final Duration PAUSE = Duration.ofMillis(20);

  private final ControlClient group;
  private final Supplier<EntryInfo> self;
  private final UsageLedger usage;
  private final GatewaySyncState gateway;
  private final Clocks clocks;
  private final SuspensionGuard guard;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile State state = new State(EntryView.empty(), List.of(), 0, 0, false);
  private volatile Disposable polling = () -> {};

  public ViewFollower(
      ControlClient group,
      Supplier<EntryInfo> self,
      UsageLedger usage,
      GatewaySyncState gateway,
      Clocks clocks) {
    this.group = group;
    this.self = self;
    this.usage = usage;
    this.gateway = gateway;
    this.clocks = clocks;
    this.guard = clocks.guard();
  }

  /** Starts to poll; returns at once. */
  public ViewFollower start() {
    polling =
        Mono.defer(this::pollOnce)
            .onErrorResume(this::logFailure)
            .then(Mono.delay(PAUSE))
            .repeat()
            .subscribe();
    return this;
  }

  private Mono<ControlReply> logFailure(Throwable error) {
    logger.atWarning().log("event=poll_failed cause=%s", error);
    return Mono.empty();
  }

  private Mono<ControlReply> pollOnce() {
    State before = state;
    UsageLedger.Batch batch = usage.changed();
    return Mono.defer(
            () -> {
              long sentAt = clocks.nanos();
              return group
                  .ask(request(before, batch), POLL_LIMIT)
                  .doOnNext(reply -> take((ControlReply.PollReply) reply, sentAt));
            })
        .doOnNext(reply -> usage.acknowledge(batch, ((ControlReply.PollReply) reply).term()));
  }

  private ControlRequest request(State before, UsageLedger.Batch batch) {
    return new ControlRequest.Poll(
        self.get(),
        before.view().revision(),
        before.entriesNumber(),
        batch.lines(),
        gateway.poll());
  }

  private void take(ControlReply.PollReply news, long sentAt) {
    gateway.take(news.gateway());
    group.setVoters(news.gateway().voters());
    State before = state;
    EntryView base = news.whole().map(EntryView::of).orElse(before.view());
    EntryView view = base.applyAll(news.changes());
    if (view.revision() < before.view().revision()) {
      logger.atSevere().log(
          "event=view_reverted have=%d offered=%d", before.view().revision(), view.revision());
      return;
    }
    boolean suspended = guard.ranAhead();
    state =
        new State(
            view,
            news.entries().orElse(before.entries()),
            news.entriesNumber(),
            sentAt + EntryRegistry.FRESHNESS.toNanos(),
            !suspended);
    if (view != before.view()) {
      listeners.forEach(Runnable::run);
    }
  }

  /** Returns the latest view, fresh or not. */
  public EntryView view() {
    return state.view();
  }

  /** Returns the live entries that the leader last named. */
  public List<EntryInfo> entries() {
    return state.entries();
  }

  /** Returns whether the view may be decided by at this instant. */
  public boolean isFresh() {
    if (guard.ranAhead()) {
      state = state.distrust();
    }
    State present = state;
    return present.proved() && present.freshUntil() - clocks.nanos() > 0;
  }

  /** Calls back whenever the view changes; the listener must not block. */
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
      long freshUntil,
      boolean proved) {
    State distrust() {
      return new State(view, entries, entriesNumber, freshUntil, false);
    }
  }
}
