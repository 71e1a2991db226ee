package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests when an attempt ends because its server is silent. */
final class SilenceTimeoutTest {
  private static final Duration FIRST = Duration.ofSeconds(2);
  private static final Duration GAP = Duration.ofSeconds(1);
  private static final Duration SHORTER_THAN_GAP = Duration.ofMillis(900);

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final Sinks.Many<Integer> response = Sinks.many().unicast().onBackpressureBuffer();
  private final List<Integer> received = new ArrayList<>();
  private final List<Throwable> errors = new ArrayList<>();
  private boolean hasRepeat = true;

  SilenceTimeoutTest() {
    new SilenceTimeout(
            FIRST.toNanos(),
            GAP.toNanos(),
            () -> hasRepeat,
            () -> time.now(TimeUnit.NANOSECONDS),
            time)
        .guard(response.asFlux())
        .subscribe(received::add, errors::add);
  }

  @Example
  void silenceBeforeTheFirstPartEndsTheAttempt() {
    time.advanceTimeBy(FIRST.minusMillis(1));
    assertThat(errors).isEmpty();
    time.advanceTimeBy(Duration.ofMillis(1));
    assertThat(errors).hasOnlyElementsOfType(TimeoutException.class).hasSize(1);
    assertThat(response.currentSubscriberCount()).as("the attempt is cancelled").isZero();
  }

  @Example
  void attemptGoesOnWhilePartsArriveAndEndsInTheNextGap() {
    IntStream.range(0, 20).forEach(this::receiveAfterAWhile);
    assertThat(received).hasSize(20);
    assertThat(errors).isEmpty();
    time.advanceTimeBy(GAP);
    assertThat(errors).hasOnlyElementsOfType(TimeoutException.class).hasSize(1);
  }

  @Example
  void partsStartNoFurtherTimers() {
    long before = time.getScheduledTaskCount();
    IntStream.range(0, 1000).forEach(response::tryEmitNext);
    assertThat(received).hasSize(1000);
    assertThat(time.getScheduledTaskCount()).isEqualTo(before);
  }

  @Example
  void attemptGoesOnForAnotherWholeWaitWhileNoRepeatIsLeft() {
    hasRepeat = false;
    time.advanceTimeBy(FIRST.multipliedBy(3));
    hasRepeat = true;
    time.advanceTimeBy(FIRST.minusMillis(1));
    assertThat(errors).isEmpty();
    time.advanceTimeBy(Duration.ofMillis(1));
    assertThat(errors).hasOnlyElementsOfType(TimeoutException.class).hasSize(1);
  }

  private void receiveAfterAWhile(int part) {
    time.advanceTimeBy(SHORTER_THAN_GAP);
    response.tryEmitNext(part).orThrow();
  }
}
