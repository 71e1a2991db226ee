package org.endivemux.routing.fleet;

import java.util.Arrays;

/**
 * Keeps one entry's part of the retries that all entries together may send to a service.
 *
 * <p>Invariant: within any window the entry repeats at most a share of its own requests plus its
 * part of a fixed allowance, so that the sum over all entries keeps the shared limit. Confined to
 * one thread.
 */
public final class RetryAllowance {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Part of the fixed allowance that is handed out; the rest covers entries not yet known. */
  private static final double HANDED_OUT = 0.8;

  private final double ratio;
  private final double slack;
  private final long[] requests;
  private final long[] repeats;
  private long second = Long.MIN_VALUE / 2;

  /**
   * @param windowSeconds length of the sliding window
   * @param slack repeats that all entries may send beyond the ratio
   */
  public RetryAllowance(double ratio, int windowSeconds, double slack) {
    this.ratio = ratio;
    this.slack = slack;
    this.requests = new long[windowSeconds + 1];
    this.repeats = new long[windowSeconds + 1];
  }

  public void recordRequest(long now) {
    requests[slot(now)]++;
  }

  /** Takes one repeat; returns false when there is none left. */
  public boolean tryRetry(int entries, long now) {
    int slot = slot(now);
    double allowed = ratio * sum(requests) + HANDED_OUT * slack / Math.max(1, entries);
    if (sum(repeats) + 1 > allowed) {
      return false;
    }
    repeats[slot]++;
    return true;
  }

  private int slot(long now) {
    long present = Math.floorDiv(now, NANOS_PER_SECOND);
    long passed = Math.min(present - second, requests.length);
    for (long i = 1; i <= passed; i++) {
      int cleared = (int) Math.floorMod(second + i, (long) requests.length);
      requests[cleared] = 0;
      repeats[cleared] = 0;
    }
    second = Math.max(second, present);
    return (int) Math.floorMod(second, (long) requests.length);
  }

  private static long sum(long[] counts) {
    return Arrays.stream(counts).sum();
  }
}
