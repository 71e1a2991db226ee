package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.endivemux.gateway.PlannedStop;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests when an entry that drains answers its last requests, and when it may end. */
final class EntryDrainTest {
  private static final Duration SERVING = Duration.ofMillis(1500);
  private static final Duration LIMIT = Duration.ofMillis(3500);
  private static final Duration MOMENT = Duration.ofMillis(60);

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final PlannedStop stop = new PlannedStop();
  private final AtomicInteger inFlight = new AtomicInteger(1);
  private final AtomicBoolean ended = new AtomicBoolean();

  private void start() {
    var unused =
        new EntryDrain(stop, inFlight::get, SERVING, LIMIT, time)
            .run()
            .subscribe(nothing -> {}, error -> {}, () -> ended.set(true));
  }

  private boolean areRequestsEnded() {
    return stop.ended().toFuture().isDone();
  }

  /** Guards against an entry that ends while callers may still have its address. */
  @Example
  void idleEntryEndsAfterItHasServedOn() {
    inFlight.set(0);
    start();
    time.advanceTimeBy(SERVING.minus(MOMENT));
    assertThat(ended).isFalse();
    time.advanceTimeBy(MOMENT.multipliedBy(2));
    assertThat(ended).isTrue();
    assertThat(areRequestsEnded()).isFalse();
  }

  /** Guards against requests that are cut off because they were answered too late. */
  @Example
  void requestThatDoesNotEndIsAnsweredWithinTheLimit() {
    start();
    time.advanceTimeBy(LIMIT.minus(EntryDrain.LAST_ANSWERS_TIME).minus(MOMENT));
    assertThat(areRequestsEnded()).isFalse();
    time.advanceTimeBy(MOMENT);
    assertThat(areRequestsEnded()).isTrue();
    assertThat(ended).isFalse();
    time.advanceTimeBy(EntryDrain.LAST_ANSWERS_TIME);
    assertThat(ended).isTrue();
  }
}
