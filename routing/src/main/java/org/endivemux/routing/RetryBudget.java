package org.endivemux.routing;

import java.util.HashMap;
import java.util.Map;
import org.endivemux.model.ClassName;

/**
 * Limits retries to a part of each class's requests, so that they cannot amplify an overload.
 *
 * <p>Invariant: over time at most one retry for every {@value #REQUESTS_PER_RETRY} requests, plus a
 * reserve of {@value #RESERVED_RETRIES}. Thread-safe.
 */
public final class RetryBudget {
  private static final int REQUESTS_PER_RETRY = 5;
  private static final int RESERVED_RETRIES = 10;
  private static final int MAX_CREDITS = RESERVED_RETRIES * REQUESTS_PER_RETRY;

  private final Map<ClassName, Integer> credits = new HashMap<>();

  /** Records a new request. */
  public synchronized void recordRequest(ClassName requestClass) {
    credits.put(requestClass, Math.min(MAX_CREDITS, creditsOf(requestClass) + 1));
  }

  private int creditsOf(ClassName requestClass) {
    return credits.getOrDefault(requestClass, MAX_CREDITS);
  }

  /** Takes one retry from the budget; returns false when none is left. */
  public synchronized boolean tryRetry(ClassName requestClass) {
    int known = creditsOf(requestClass);
    if (known < REQUESTS_PER_RETRY) {
      return false;
    }
    credits.put(requestClass, known - REQUESTS_PER_RETRY);
    return true;
  }
}
