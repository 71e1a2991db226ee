package org.endivemux.routing.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.IntStream;

/**
 * Decides when a request that has no response yet is also sent to a second backend server.
 *
 * <p>Does no I/O and reads no clock: durations are passed in, in nanoseconds. Invariant: at any
 * time an entry has sent at most a share of its own requests a second time, so the sum over all
 * entries stays within that share, also without a leader and after restarts. Not thread-safe.
 */
public final class HedgePolicy {
  /**
   * Unused hedges that an entry may save up. An entry sees a few requests a second, so it must be
   * able to save fractions; a higher limit would let many entries hedge at the start of an
   * overload.
   */
  private static final double MAX_CREDITS = 2;

  private static final int MAX_SAMPLES = 256;

  /** With fewer samples, a high quantile is the largest sample and says little. */
  private static final int MIN_SAMPLES = 40;

  /** Sorting the samples for each request would cost more than the decision is worth. */
  private static final int SAMPLES_PER_UPDATE = 16;

  /**
   * Shortest delay as a multiple of the median. Where all servers are equally fast, hardly any
   * request takes longer, and a second attempt would not end sooner than the first.
   */
  private static final double MIN_DELAY_MEDIANS = 1.5;

  /**
   * Latest samples whose median counts as well. The median of all samples follows too late when all
   * servers become slow: hedges would go to servers that are no faster.
   */
  private static final int MEDIAN_SAMPLES = 32;

  /** Latest requests of a route that show whether all of its servers are slow. */
  private static final int RECENT_REQUESTS = 16;

  /**
   * More late requests than these among the latest mean that most servers are slow. One slow server
   * of twenty exceeds this in less than 1 of 100 such windows.
   */
  private static final int MAX_LATE_REQUESTS = 4;

  /** Bounds the memory when configurations keep renaming routes. */
  private static final int MAX_ROUTES = 512;

  private final double share;
  private final double quantile;
  private final Map<String, RouteTimes> routes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RouteTimes> eldest) {
          return size() > MAX_ROUTES;
        }
      };
  private double credits;

  /** Lists the decisions about a request that is late. */
  public enum Decision {
    ALLOWED,
    /** So many requests of the route are late that another server would be no faster. */
    ALL_SLOW,
    /** The share of requests that may be hedged is used up. */
    OVER_BUDGET
  }

  /**
   * Creates a policy.
   *
   * @param share hedges for each request of the entry, more than 0 and at most 1
   * @param quantile share of a route's requests that are answered before the delay, at least 0.5
   *     and less than 1
   * @throws IllegalArgumentException if a value is out of range
   */
  public HedgePolicy(double share, double quantile) {
    if (!(share > 0 && share <= 1 && quantile >= 0.5 && quantile < 1)) {
      throw new IllegalArgumentException("share " + share + " or quantile " + quantile);
    }
    this.share = share;
    this.quantile = quantile;
  }

  /** Records a new request of any route. */
  public void requested() {
    credits = Math.min(MAX_CREDITS, credits + share);
  }

  /**
   * Returns how long a request of a route waits for its first byte before it is late, or empty
   * while too few times are known.
   */
  public OptionalLong delayNanos(String route) {
    return times(route).delayNanos();
  }

  /**
   * Records the time to the first byte at the first server. When the second server was faster, this
   * is the time until the first attempt was cancelled; without it the quantile would sink.
   *
   * @param isLate whether {@link #late} was called for the request
   */
  public void recordFirstByte(String route, long nanos, boolean isLate) {
    RouteTimes times = times(route);
    times.add(nanos);
    if (!isLate) {
      times.recordOutcome(0);
    }
  }

  /** Records that a request has waited for the delay; decides whether it may be hedged. */
  public Decision late(String route) {
    RouteTimes times = times(route);
    times.recordOutcome(1);
    if (Integer.bitCount(times.outcomes) > MAX_LATE_REQUESTS) {
      return Decision.ALL_SLOW;
    }
    return credits >= 1 ? Decision.ALLOWED : Decision.OVER_BUDGET;
  }

  /** Takes one hedge from the budget; returns false if none is left. */
  public boolean tryTake() {
    boolean allowed = credits >= 1;
    credits -= allowed ? 1 : 0;
    return allowed;
  }

  private RouteTimes times(String route) {
    return routes.computeIfAbsent(route, name -> new RouteTimes());
  }

  /** Holds the latest first-byte times of one route. */
  private final class RouteTimes {
    private final long[] samples = new long[MAX_SAMPLES];
    private int count;
    private int next;
    private int untilUpdate;
    private OptionalLong delay = OptionalLong.empty();

    /** One bit for each of the latest requests, set when it was late. */
    private int outcomes;

    void add(long nanos) {
      samples[next] = nanos;
      next = (next + 1) % MAX_SAMPLES;
      count = Math.min(MAX_SAMPLES, count + 1);
      untilUpdate--;
    }

    void recordOutcome(int late) {
      outcomes = ((outcomes << 1) | late) & ((1 << RECENT_REQUESTS) - 1);
    }

    OptionalLong delayNanos() {
      if (untilUpdate <= 0 && count >= MIN_SAMPLES) {
        untilUpdate = SAMPLES_PER_UPDATE;
        long[] all = sortedLatest(count);
        long median = Math.max(all[count / 2], sortedLatest(MEDIAN_SAMPLES)[MEDIAN_SAMPLES / 2]);
        long shortest = (long) (MIN_DELAY_MEDIANS * median);
        delay = OptionalLong.of(Math.max(shortest, all[(int) (quantile * (count - 1))]));
      }
      return delay;
    }

    private long[] sortedLatest(int length) {
      return IntStream.range(0, length)
          .mapToLong(i -> samples[Math.floorMod(next - 1 - i, MAX_SAMPLES)])
          .sorted()
          .toArray();
    }
  }
}
