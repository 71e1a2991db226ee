package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.gateway.EventLoopStall.SendCheck;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests how late a request is taken to be, and when it may be sent, around a stalled loop. */
final class EventLoopStallTest {
  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration PAUSE = Duration.ofSeconds(3);

  private final VirtualTimeScheduler loop = VirtualTimeScheduler.create();
  private final AtomicLong nanos = new AtomicLong();
  private final EventLoopStall stall = new EventLoopStall(nanos::get, loop);

  /** Lets the loop run for a number of ticks. */
  private void run(int ticks) {
    IntStream.range(0, ticks)
        .forEach(
            tick -> {
              nanos.addAndGet(STEP.toNanos());
              loop.advanceTimeBy(STEP);
            });
  }

  /** Guards against granting the whole time to requests that waited while the loop was blocked. */
  @Example
  void requestReadAfterAStallIsDatedBackToItsStart() {
    stall.start();
    run(10);
    long stalledSince = nanos.get();
    assertThat(stall.earliestArrival()).isEqualTo(stalledSince);
    nanos.addAndGet(PAUSE.toNanos());
    assertThat(stall.earliestArrival()).isEqualTo(stalledSince);
    run(1);
    assertThat(stall.earliestArrival()).isEqualTo(stalledSince);
    run(10);
    assertThat(stall.earliestArrival()).isEqualTo(nanos.get());
    assertThat(stall.count()).isEqualTo(1);
  }

  /**
   * Guards against requests that the kernel held from the opening of the port until classes load.
   */
  @Example
  void firstRequestsAreDatedBackToTheOpeningOfThePort() {
    nanos.set(PAUSE.toNanos());
    stall.start();
    nanos.addAndGet(PAUSE.toNanos());
    assertThat(stall.earliestArrival()).isEqualTo(PAUSE.toNanos());
  }

  /** Guards against a send before the loop has read the closes that were pending. */
  @Example
  void sendAfterAStallWaitsForLaterTurnsOfTheLoop() {
    stall.start();
    AtomicBoolean isRead = new AtomicBoolean();
    nanos.addAndGet(PAUSE.toNanos());
    stall.newSendCheck().pendingReads().subscribe(nothing -> {}, null, () -> isRead.set(true));
    assertThat(isRead).isFalse();
    run(1);
    assertThat(isRead).isTrue();
  }

  /**
   * Guards against sends in the turn that read the request, when many short turns add up to a long
   * backlog and none of them counts as a stall.
   */
  @Example
  void sendInASlowTurnWaitsForLaterTurns() {
    stall.start();
    AtomicBoolean isRead = new AtomicBoolean();
    nanos.addAndGet(Duration.ofMillis(60).toNanos());
    stall.newSendCheck().pendingReads().subscribe(nothing -> {}, null, () -> isRead.set(true));
    assertThat(isRead).isFalse();
    assertThat(stall.earliestArrival()).isEqualTo(nanos.get());
    run(1);
    assertThat(isRead).isTrue();
  }

  /** Guards against a send after a stall that began while the connection was being opened. */
  @Example
  void stallBeforeTheFirstByteHoldsTheSendBack() {
    stall.start();
    SendCheck check = stall.newSendCheck();
    check.pendingReads().subscribe();
    assertThat(check.isSteady()).isTrue();
    nanos.addAndGet(PAUSE.toNanos());
    assertThat(check.isSteady()).isFalse();
    run(1);
    assertThat(check.isSteady()).isFalse();
    check.pendingReads().subscribe();
    run(1);
    assertThat(check.isSteady()).isTrue();
  }
}
