package org.endivemux.routing;

import java.util.HashMap;
import java.util.Map;
import org.endivemux.model.ClassName;

/**
 * Limits retries to a part of each class's requests, so that retries can not feed an overload.
 *
 * <p>Invariant: over time at most one retry for every {@value #REQUESTS_PER_RETRY} requests, plus a
 * reserve of {@value #RESERVE}. Thread-safe.
 */
public final class RetryBudget {
  private static final int REQUESTS_PER_RETRY = 5;
  private static final int RESERVE = 10;
  private static final int FULL = RESERVE * REQUESTS_PER_RETRY;

  private final Map<ClassName, Integer> credits = new HashMap<>();

  /** Notes a new request. */
  public synchronized void recordRequest(ClassName requestClass) {
    credits.put(requestClass, Math.min(FULL, creditsOf(requestClass) + 1));
  }

  private int creditsOf(ClassName requestClass) {
    return credits.getOrDefault(requestClass, FULL);
  }

  /** Takes one retry out of the budget; returns false when there is none. */
  public synchronized boolean tryRetry(ClassName requestClass) {
    int known = creditsOf(requestClass);
    if (known < REQUESTS_PER_RETRY) {
      return false;
    }
    credits.put(requestClass, known - REQUESTS_PER_RETRY);
    return true;
  }
}
