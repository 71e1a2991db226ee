package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests that all entries together stay within the shared limit of retries. */
final class RetryAllowanceTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int WINDOW = 10;
  private static final int ENTRIES = 6;
  private static final double RATIO = 0.2;
  private static final double SLACK = 50;
  private static final int REQUESTS_PER_SECOND = 100;
  private static final int NEVER = Integer.MAX_VALUE;

  /** Every request fails and each entry retries as often as allowed, at uneven rates. */
  @Property(tries = 20, seed = "4")
  void failingServiceIsNotFloodedInAnyWindow(@ForAll long seed) {
    Random random = new Random(seed);
    assertNotFlooded(() -> random.nextInt(1 + random.nextInt(ENTRIES)), NEVER);
  }

  /** As above, and all entries restart twice in a window and forget what they have sent. */
  @Property(tries = 20, seed = "5")
  void restartedEntriesDoNotFloodAFailingService(@ForAll long seed) {
    Random random = new Random(seed);
    assertNotFlooded(() -> random.nextInt(ENTRIES), WINDOW * REQUESTS_PER_SECOND / 2);
  }

  /** Plays requests to random entries, which restart after every so many requests. */
  private static void assertNotFlooded(IntSupplier nextEntry, int requestsBetweenRestarts) {
    List<RetryAllowance> entries = newEntries();
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    IntStream.range(0, 40 * REQUESTS_PER_SECOND)
        .forEach(
            i -> {
              long now = 50 * SECOND + i * SECOND / REQUESTS_PER_SECOND;
              if (i % requestsBetweenRestarts == 0) {
                entries.replaceAll(entry -> new RetryAllowance(RATIO, WINDOW, SLACK));
              }
              RetryAllowance entry = entries.get(nextEntry.getAsInt());
              entry.recordRequest(now);
              requests.add(now);
              if (entry.tryRetry(ENTRIES, now)) {
                retries.add(now);
              }
            });
    assertWithinLimit(requests, retries);
  }

  private static List<RetryAllowance> newEntries() {
    return new ArrayList<>(
        Stream.generate(() -> new RetryAllowance(RATIO, WINDOW, SLACK)).limit(ENTRIES).toList());
  }

  private static void assertWithinLimit(List<Long> requests, List<Long> retries) {
    IntStream.range(0, 40)
        .mapToLong(second -> (50L + second) * SECOND)
        .forEach(
            from ->
                assertThat((double) within(retries, from))
                    .isLessThanOrEqualTo(
                        RATIO
                                * Math.max(
                                    within(requests, from), within(requests, from - 5 * SECOND))
                            + SLACK));
    assertThat(retries).isNotEmpty();
  }

  private static long within(List<Long> times, long from) {
    return times.stream().filter(at -> at >= from && at < from + WINDOW * SECOND).count();
  }
}
