package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.EntryInfo;

/** Tests the sum of what entries send to a server that has stated a limit. */
final class StatedLimitsTest {
  private static final BackendServerId SERVER = new BackendServerId("s");
  private static final long STEP = 20 * Fleet.MILLI;
  private static final long SECOND = 1000 * Fleet.MILLI;
  private static final long WINDOW = 4 * SECOND;
  private static final long END = 40 * SECOND;

  /** Entries that the server has told this long ago count. */
  private static final long TOLD = SECOND / 2;

  private final Map<Integer, StatedLimits> entries = new HashMap<>();
  private final Map<Integer, List<EntryInfo>> views = new HashMap<>();
  private final List<Long> sends = new ArrayList<>();

  /** Guards against entries that send a backlog at once, each its whole part. */
  @Property(tries = 60)
  void entriesStayWithinTheLimitTogether(
      @ForAll @IntRange(min = 1, max = 60) int count,
      @ForAll @DoubleRange(min = 0.3, max = 40) double limit,
      @ForAll @IntRange(min = 0, max = 20) int idleSeconds,
      @ForAll Random random) {
    start(count, limit, random);
    run(count, TOLD + idleSeconds * SECOND, END);
    assertThat(mostInAWindow()).isLessThanOrEqualTo(allowed(limit));
    double perSecond = sends.size() / (double) (END / SECOND - idleSeconds);
    assertThat(perSecond).isBetween(limit / 2 - 0.2, limit + 1);
  }

  /** Guards against entries that both send while they have different lists of entries. */
  @Property(tries = 60)
  void entriesStayWithinTheLimitWhileTheirListsDiffer(
      @ForAll @IntRange(min = 2, max = 60) int count,
      @ForAll @DoubleRange(min = 0.3, max = 40) double limit,
      @ForAll Random random) {
    start(count, limit, random);
    run(count, TOLD, END / 2);
    IntStream.range(1, count).forEach(i -> views.put(i, Fleet.live(1, count)));
    run(count, END / 2, END / 2 + SECOND);
    entries.remove(0);
    run(count, END / 2 + SECOND, END);
    assertThat(mostInAWindow()).isLessThanOrEqualTo(allowed(limit));
  }

  /** Guards against servers that stay limited after they have recovered. */
  @Example
  void limitEndsWithTheResponseToALaterRequestThatStatesNone() {
    start(1, 1, new Random(1));
    StatedLimits limits = entries.get(0);
    assertThat(limits.allows(SERVER, TOLD)).isFalse();
    assertThat(limits.stated(SERVER, OptionalDouble.empty(), -SECOND, TOLD)).isFalse();
    assertThat(limits.allows(SERVER, TOLD)).isFalse();
    assertThat(limits.stated(SERVER, OptionalDouble.empty(), TOLD, TOLD)).isTrue();
    assertThat(limits.allows(SERVER, TOLD)).isTrue();
  }

  /** Guards against a server that states 0 and is never asked again whether that still holds. */
  @Example
  void serverThatTakesNothingIsStillAskedSometimes() {
    start(3, 0, new Random(1));
    run(3, TOLD, END);
    assertThat(sends).hasSizeBetween(1, 4);
  }

  private void start(int count, double limit, Random random) {
    views.clear();
    entries.clear();
    sends.clear();
    IntStream.range(0, count)
        .forEach(
            i -> {
              views.put(i, Fleet.live(0, count));
              entries.put(i, new StatedLimits(Fleet.vm(i), () -> views.get(i)));
              long told = random.nextInt(100) * Fleet.MILLI;
              entries.get(i).stated(SERVER, OptionalDouble.of(limit), told, told);
            });
  }

  /** Lets every entry send as much as it may. */
  private void run(int count, long from, long to) {
    for (long now = from; now < to; now += STEP) {
      for (int i = 0; i < count; i++) {
        StatedLimits limits = entries.get(i);
        if (limits != null && limits.allows(SERVER, now)) {
          limits.sent(SERVER, now);
          sends.add(now);
        }
      }
    }
  }

  private int mostInAWindow() {
    int most = 0;
    int first = 0;
    for (int last = 0; last < sends.size(); last++) {
      while (sends.get(last) - sends.get(first) > WINDOW) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  private static int allowed(double limit) {
    return (int) (1.5 * 4 * limit + 5);
  }
}
