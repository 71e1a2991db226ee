package org.endivemux.routing.fleet;

import org.endivemux.model.FailureDomain;

/**
 * Estimates the milliseconds that a job costs at a backend server, its users and those beside it.
 *
 * <p>Pure and immutable; thread-safe.
 */
final class FleetCost {
  private static final double READ_TOKENS_PER_MILLI = 125;

  /** Engines slow down for all by this with each request in their batch. */
  private static final double MILLIS_PER_BATCHED = 8;

  /** A plain service answers one request at a time in each slot. */
  private static final double MILLIS_PER_USED_SLOT = 15;

  private static final double OTHER_DOMAIN_MILLIS = 12;
  private static final double ERROR_MILLIS = 1500;

  /** Reading a shared part again costs the whole fleet, not only the caller that waits for it. */
  private static final double READ_AGAIN_FACTOR = 3;

  private final FailureDomain domain;

  FleetCost(FailureDomain domain) {
    this.domain = domain;
  }

  /**
   * @param isHome whether all entries prefer this server for the job's shared prompt parts
   */
  double millis(FleetJob job, ServerLoad load, boolean isHome, long now) {
    double link = load.server().failureDomain().equals(domain) ? 0 : OTHER_DOMAIN_MILLIS;
    return link + load.errorShare() * ERROR_MILLIS + work(job, load, isHome, now);
  }

  private static double work(FleetJob job, ServerLoad load, boolean isHome, long now) {
    int total = load.total(now);
    if (job.prompt().tokens() == 0) {
      return total * MILLIS_PER_USED_SLOT;
    }
    int shared = job.prompt().sharedTokens();
    int covered = isHome ? shared : Math.min(shared, load.covered(job.prompt()));
    double again = (shared - covered) * READ_AGAIN_FACTOR;
    return total * MILLIS_PER_BATCHED + (load.unreadTokens(now) + again) / READ_TOKENS_PER_MILLI;
  }
}
