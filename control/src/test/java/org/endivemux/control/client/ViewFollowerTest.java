package org.endivemux.control.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.endivemux.control.ControlException;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.state.EntryView;
import org.endivemux.control.state.EntryView.NumberedChange;
import org.endivemux.control.state.ViewChange;
import org.endivemux.control.state.ViewUpdate;
import org.endivemux.control.voter.Clocks;
import org.endivemux.control.voter.LargeConfigs;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.GatewayConfigUpdate;
import org.endivemux.wire.Packed;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Checks which replies of leaders change what an entry decides by. */
final class ViewFollowerTest {
  private static final VmId VOTER = new VmId("127.0.0.1:1");
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final Duration FRESHNESS = Duration.ofSeconds(2);

  private final VirtualTimeScheduler time = VirtualTimeScheduler.getOrSet();
  private final Clocks clocks =
      new Clocks(() -> time.now(TimeUnit.NANOSECONDS), () -> time.now(TimeUnit.MILLISECONDS));
  private final Deque<ControlReply> replies = new ArrayDeque<>();
  private final ViewFollower follower =
      new ViewFollower(
          new ControlClient(
              vm ->
                  (request, limit) ->
                      Mono.fromSupplier(replies::poll)
                          .switchIfEmpty(Mono.error(new ControlException("No voter answers."))),
              List.of(VOTER)),
          () ->
              new EntryInfo(
                  VOTER, new Incarnation("i"), new FailureDomain("d"), "a:1", "a:2", true),
          new UsageLedger(),
          new GatewaySyncState(clocks, 5000, List::of, List::of, List::of, CrashNews::none),
          clocks);

  @AfterTry
  void stop() {
    follower.close();
    VirtualTimeScheduler.reset();
  }

  /** Returns a reply with all of the state, as it is after a version was stored. */
  private static ControlReply reply(long term, long revision, long version) {
    GatewayConfigUpdate config =
        GatewayConfigUpdate.whole(LargeConfigs.withAllRoutesChanged(version, 1));
    EntryView.Saved whole = EntryView.empty().save();
    NumberedChange change =
        new NumberedChange(revision, new ViewChange.GatewayConfigured(0, Packed.of(config)));
    return new ControlReply.PollReply(
        term,
        new ViewUpdate(Optional.of(whole), List.of(change)),
        1,
        Optional.empty(),
        new ControlReply.GatewayPollReply(
            0, Optional.empty(), 0, List.of(), Optional.empty(), Optional.empty()));
  }

  private void pollOnce() {
    time.advanceTimeBy(POLL_INTERVAL);
  }

  @Example
  void newerStateReplacesOlderOne() {
    replies.addAll(List.of(reply(1, 5, 2), reply(2, 6, 3)));
    follower.start();
    pollOnce();
    pollOnce();
    assertThat(follower.view().gateway().version()).isEqualTo(3);
    assertThat(follower.isFresh()).isTrue();
  }

  /** Guards against an entry that goes back to an older configuration. */
  @Example
  void olderStateDoesNotReplaceNewerOne() {
    replies.addAll(List.of(reply(1, 5, 2), reply(2, 4, 1)));
    follower.start();
    pollOnce();
    pollOnce();
    assertThat(replies).isEmpty();
    assertThat(follower.view().gateway().version()).isEqualTo(2);
  }

  /** Guards against a final refusal on the strength of a reply that came from older state. */
  @Example
  void olderStateProvesNothing() {
    replies.add(reply(1, 5, 2));
    follower.start();
    time.advanceTimeBy(FRESHNESS.minus(POLL_INTERVAL));
    assertThat(follower.isFresh()).isTrue();
    replies.addAll(List.of(reply(2, 4, 1), reply(2, 4, 1)));
    time.advanceTimeBy(FRESHNESS);
    assertThat(replies).isEmpty();
    assertThat(follower.isFresh()).isFalse();
  }
}
