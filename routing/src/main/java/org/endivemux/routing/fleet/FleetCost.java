package org.endivemux.routing.fleet;

import org.endivemux.model.FailureDomain;

/**
 * Estimates the cost of a job at a backend server in milliseconds, for its own caller and for the
 * other requests on that server.
 *
 * <p>Pure, immutable and thread-safe.
 */
final class FleetCost {
  /** Slowdown of all requests in an engine's batch caused by each request in it. */
  private static final double MILLIS_PER_BATCHED_REQUEST = 8;

  /** A plain service answers one request at a time in each slot. */
  private static final double MILLIS_PER_USED_SLOT = 15;

  private static final double CROSS_DOMAIN_MILLIS = 12;

  /**
   * Wait that a server of another domain must save where speeds are measured; a small part of the
   * targets of interactive routes, so that bytes between domains are spent only where it shows.
   */
  private static final double MEASURED_CROSS_DOMAIN_MILLIS = 40;

  private static final double ERROR_PENALTY_MILLIS = 1500;

  /** Repeating the prefill of a shared part costs the whole fleet, not only the waiting caller. */
  private static final double REPEATED_PREFILL_FACTOR = 3;

  private final FailureDomain domain;

  FleetCost(FailureDomain domain) {
    this.domain = domain;
  }

  /**
   * @param isPreferred whether all entries prefer this server for the job's shared prompt parts
   * @param prefillRate rate at which engines of the job's service prefill prompts
   */
  double millis(
      FleetJob job, ServerLoad load, boolean isPreferred, PrefillRate prefillRate, long now) {
    double link = load.server().failureDomain().equals(domain) ? 0 : CROSS_DOMAIN_MILLIS;
    return link
        + load.errorShare() * ERROR_PENALTY_MILLIS
        + work(job, load, isPreferred, prefillRate, now);
  }

  /**
   * Returns the cost where the speed of each server is measured: the work there, the job's own
   * included, takes as long as the server is slow, and a stream suffers from pauses beyond the
   * longest one that its route allows.
   */
  double measuredMillis(
      FleetJob job, ServerLoad load, boolean isPreferred, PrefillRate prefillRate, long now) {
    double speed = load.speed().now(now);
    double link = load.server().failureDomain().equals(domain) ? 0 : MEASURED_CROSS_DOMAIN_MILLIS;
    int ownTokens = job.prompt().tokens() - job.prompt().sharedTokens();
    double work =
        work(job, load, isPreferred, prefillRate, now) + ownTokens / prefillRate.tokensPerMilli();
    return link
        + load.errorShare() * ERROR_PENALTY_MILLIS
        + work / speed
        + excessPause(job, load, prefillRate.tokensPerMilli() * speed, now);
  }

  /** Returns by how much the pending prefill may exceed the longest allowed pause of a stream. */
  private static double excessPause(
      FleetJob job, ServerLoad load, double tokensPerMilli, long now) {
    double pause = load.pendingPrefillTokens(now) / tokensPerMilli;
    return job.pauseMillis() == 0 ? 0 : Math.max(0, pause - job.pauseMillis());
  }

  private static double work(
      FleetJob job, ServerLoad load, boolean isPreferred, PrefillRate prefillRate, long now) {
    int total = load.total(now);
    if (job.prompt().tokens() == 0) {
      return total * MILLIS_PER_USED_SLOT;
    }
    int shared = job.prompt().sharedTokens();
    int cached = isPreferred ? shared : Math.min(shared, load.cachedTokens(job.prompt()));
    double repeated = (shared - cached) * REPEATED_PREFILL_FACTOR;
    return total * MILLIS_PER_BATCHED_REQUEST
        + (load.pendingPrefillTokens(now) + repeated) / prefillRate.tokensPerMilli();
  }
}
