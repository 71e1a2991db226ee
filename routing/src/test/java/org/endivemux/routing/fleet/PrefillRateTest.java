package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.assertj.core.data.Percentage;

/** Tests that the prefill rate of engines is learned from first events. */
final class PrefillRateTest {
  private static final double NANOS_PER_MILLI = 1e6;

  @Example
  void followsTheMedianAlthoughSomeRequestsWaitedLong() {
    Random random = new Random(3);
    PrefillRate rate = new PrefillRate();
    IntStream.range(0, 500)
        .forEach(
            i -> {
              int tokens = 2000 + random.nextInt(8000);
              double delay = random.nextInt(5) == 0 ? 10 : 0.8 + 0.4 * random.nextDouble();
              rate.observe(tokens, (long) (tokens / 38.4 * delay * NANOS_PER_MILLI));
            });
    assertThat(rate.tokensPerMilli()).isCloseTo(38.4, Percentage.withPercentage(20));
  }

  @Example
  void ignoresShortPrompts() {
    PrefillRate rate = new PrefillRate();
    double initial = rate.tokensPerMilli();
    rate.observe(10, (long) NANOS_PER_MILLI);
    assertThat(rate.tokensPerMilli()).isEqualTo(initial);
  }
}
