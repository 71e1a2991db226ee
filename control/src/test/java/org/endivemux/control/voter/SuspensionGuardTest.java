package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Checks which differences between the two clocks count as a suspension of the VM. */
final class SuspensionGuardTest {
  private static final long MILLI = Duration.ofMillis(1).toNanos();

  private final AtomicLong monotonic = new AtomicLong();
  private final AtomicLong wall = new AtomicLong(1_000 * MILLI);
  private final SuspensionGuard guard = new SuspensionGuard(monotonic::get, wall::get);

  private boolean ranAheadAfter(long monotonicMillis, long wallMillis) {
    monotonic.addAndGet(monotonicMillis * MILLI);
    wall.addAndGet(wallMillis * MILLI);
    return guard.ranAhead();
  }

  @Example
  void suspensionOfSecondsIsDetectedOnce() {
    assertThat(ranAheadAfter(20, 20)).isFalse();
    assertThat(ranAheadAfter(20, 5_020)).isTrue();
    assertThat(ranAheadAfter(20, 20)).isFalse();
  }

  @Example
  void slowSlewOfTheWallClockIsNoSuspension() {
    IntStream.range(0, 10_000).forEach(i -> assertThat(ranAheadAfter(20, 21)).isFalse());
  }

  @Example
  void stepBackOfTheWallClockIsNoSuspensionAndHidesNoLaterOne() {
    assertThat(ranAheadAfter(20, -3_000)).isFalse();
    assertThat(ranAheadAfter(20, 2_020)).isTrue();
  }
}
