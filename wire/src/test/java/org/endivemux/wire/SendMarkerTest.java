package org.endivemux.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Tests that an attempt is either sent or abandoned. */
final class SendMarkerTest {
  private static final int ROUNDS = 2_000;

  /** Guards against an attempt that one thread sends while another counts it as not sent. */
  @Example
  void concurrentDecisionsNeverBothSucceed() {
    CyclicBarrier barrier = new CyclicBarrier(2);
    IntStream.range(0, ROUNDS)
        .forEach(
            round -> {
              SendMarker marker = new SendMarker();
              CompletableFuture<Boolean> sent =
                  CompletableFuture.supplyAsync(() -> await(barrier) && marker.trySend());
              boolean abandoned = await(barrier) && marker.tryAbandon();
              assertThat(sent.join()).isEqualTo(!abandoned).isEqualTo(marker.mayHaveSent());
            });
  }

  @Example
  void attemptIsSentOnceOnly() {
    SendMarker marker = new SendMarker();
    assertThat(marker.trySend()).isTrue();
    assertThat(marker.trySend()).isFalse();
    assertThat(marker.tryAbandon()).isFalse();
  }

  /** Guards against a held-back attempt that is sent later or counts as sent. */
  @Example
  void attemptThatMayNotBeSentWhenItCouldBeIsAbandoned() {
    SendMarker marker = new SendMarker(() -> false);
    assertThat(marker.trySend()).isFalse();
    assertThat(marker.isHeldBack()).isTrue();
    assertThat(marker.mayHaveSent()).isFalse();
    assertThat(marker.tryAbandon()).isTrue();
  }

  // Guards against a condition that is checked when it is added, or that replaces an earlier one.
  @Example
  void addedConditionHoldsRightBeforeTheRequestIsWritten() {
    AtomicBoolean isAllowed = new AtomicBoolean(true);
    SendMarker marker = new SendMarker();
    marker.require(isAllowed::get);
    isAllowed.set(false);
    assertThat(marker.trySend()).isFalse();
    assertThat(marker.isHeldBack()).isTrue();
    SendMarker forbidden = new SendMarker(() -> false);
    forbidden.require(() -> true);
    assertThat(forbidden.trySend()).isFalse();
  }

  private static boolean await(CyclicBarrier barrier) {
    try {
      barrier.await();
      return true;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
