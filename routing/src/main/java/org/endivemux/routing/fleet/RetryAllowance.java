package org.endivemux.routing.fleet;

import java.util.Arrays;

/**
 * Limits one entry's part of the retries that all entries together may send to a service.
 *
 * <p>Invariant: within any window the entry retries at most a share of its own requests plus its
 * part of a fixed allowance, so that the sum over all entries stays within the shared limit, also
 * after some of them have restarted. Confined to one thread.
 */
public final class RetryAllowance {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /**
   * Part of the limit that is allocated. The rest covers what entries cannot know of each other:
   * entries that joined just now, and retries of a process that has restarted since.
   */
  private static final double ALLOCATED_SHARE = 0.8;

  private final double ratio;
  private final double slack;
  private final long[] requests;
  private final long[] retries;
  private long second = Long.MIN_VALUE / 2;

  /**
   * @param windowSeconds length of the sliding window
   * @param slack retries that all entries together may send beyond the ratio
   */
  public RetryAllowance(double ratio, int windowSeconds, double slack) {
    this.ratio = ratio;
    this.slack = slack;
    this.requests = new long[windowSeconds + 1];
    this.retries = new long[windowSeconds + 1];
  }

  public void recordRequest(long now) {
    requests[slot(now)]++;
  }

  /** Takes one retry; returns false when none is left. */
  public boolean tryRetry(int entries, long now) {
    boolean allowed = hasRetry(entries, now);
    retries[slot(now)] += allowed ? 1 : 0;
    return allowed;
  }

  /** Returns whether a retry is left. */
  public boolean hasRetry(int entries, long now) {
    slot(now);
    double allowed = ALLOCATED_SHARE * (ratio * sum(requests) + slack / Math.max(1, entries));
    return sum(retries) + 1 <= allowed;
  }

  /** Clears the slots of seconds that have passed and returns that of the present one. */
  private int slot(long now) {
    long currentSecond = Math.floorDiv(now, NANOS_PER_SECOND);
    long elapsed = Math.min(currentSecond - second, requests.length);
    for (long i = 1; i <= elapsed; i++) {
      int cleared = (int) Math.floorMod(second + i, (long) requests.length);
      requests[cleared] = 0;
      retries[cleared] = 0;
    }
    second = Math.max(second, currentSecond);
    return (int) Math.floorMod(second, (long) requests.length);
  }

  private static long sum(long[] counts) {
    return Arrays.stream(counts).sum();
  }
}
