package org.endivemux.routing.fleet;

/**
 * Holds how the entries share the rate limit that a server has stated.
 *
 * <p>Invariant: all entries together have no more than the limit, and a burst of all senders at
 * once is no more than the server takes in a second, or one request. Immutable and thread-safe.
 *
 * @param senders number of entries that share most of the limit
 * @param requestsPerSender requests per second of each of them
 * @param requestsOfOthers requests per second of all other entries together, 0 without any
 */
record LimitShares(int senders, double requestsPerSender, double requestsOfOthers) {
  /** Enough to learn of the end of a limit within some seconds, in a fleet of a few entries. */
  private static final double SHARE_OF_OTHERS = 0.25;

  /**
   * Returns the shares of a limit.
   *
   * @param limit requests per second
   * @param entries number of live entries, at least 1
   */
  static LimitShares of(double limit, int entries) {
    int senders = (int) Math.max(1, Math.min(entries, Math.floor(limit)));
    double others = senders < entries ? limit * SHARE_OF_OTHERS : 0;
    return new LimitShares(senders, (limit - others) / senders, others);
  }
}
