package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.VmId;

/** Checks that a step of some clocks does not move the estimate of true time. */
final class TrueTimeTest {
  private static final long TRUE_MILLIS = 1_700_000_000_000L;

  private final AtomicLong nanos = new AtomicLong(5_000_000_000L);
  private final AtomicLong wall = new AtomicLong(TRUE_MILLIS);
  private final TrueTime time = new TrueTime(new Clocks(nanos::get, wall::get));

  private void entries(int count, long millis) {
    for (int i = 0; i < count; i++) {
      time.observed(new VmId("entry" + millis + i), millis);
    }
  }

  @Example
  void stepOfTheOwnClockChangesNothing() {
    entries(3, TRUE_MILLIS);
    wall.set(TRUE_MILLIS - 2400);
    assertThat(time.millis()).isEqualTo(TRUE_MILLIS);
  }

  @Example
  void stepOfAMinorityOfEntriesChangesNothing() {
    entries(3, TRUE_MILLIS);
    entries(2, TRUE_MILLIS + 2400);
    assertThat(time.millis()).isEqualTo(TRUE_MILLIS);
  }

  @Example
  void estimateAdvancesWithTheMonotonicClock() {
    entries(3, TRUE_MILLIS);
    nanos.addAndGet(1_000_000_000L);
    assertThat(time.millis()).isEqualTo(TRUE_MILLIS + 1000);
  }

  @Example
  void stepOfMostClocksChangesNothing() {
    SteadyWallClock entry = new SteadyWallClock(new Clocks(nanos::get, wall::get));
    IntStream.range(0, 5)
        .forEach(i -> time.observed(new VmId("entry" + i), i < 2 ? TRUE_MILLIS : entry.millis()));
    nanos.addAndGet(1_000_000_000L);
    wall.set(TRUE_MILLIS + 1000 + 2400);
    IntStream.range(2, 5).forEach(i -> time.observed(new VmId("entry" + i), entry.millis()));
    assertThat(time.millis()).isEqualTo(TRUE_MILLIS + 1000);
  }

  @Example
  void clockFollowsADriftAtOnceAndASuspensionAfterAMinute() {
    SteadyWallClock clock = new SteadyWallClock(new Clocks(nanos::get, wall::get));
    wall.set(TRUE_MILLIS + 50);
    assertThat(clock.millis()).isEqualTo(TRUE_MILLIS + 50);
    wall.set(TRUE_MILLIS + 10_050);
    assertThat(clock.millis()).isEqualTo(TRUE_MILLIS + 50);
    nanos.addAndGet(61_000_000_000L);
    wall.addAndGet(61_000);
    assertThat(clock.millis()).isEqualTo(TRUE_MILLIS + 71_050);
  }
}
