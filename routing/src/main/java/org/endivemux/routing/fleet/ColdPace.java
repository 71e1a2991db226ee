package org.endivemux.routing.fleet;

import org.endivemux.model.gateway.WarmUp;

/**
 * Holds how many entries may send requests to a cold server, and how far apart each of them.
 *
 * <p>Invariant: the entries that two different views of the entry list select stay within the
 * server's limit together, in any second, even if no entry is selected by both. Immutable and
 * thread-safe.
 *
 * @param senders number of entries that may send
 * @param requestsPerSecond rate of all of them together
 */
record ColdPace(int senders, double requestsPerSecond) {
  private static final int MAX_SENDERS = 4;

  /** Different views of the entry list that may be in use while a change of it spreads. */
  private static final int VIEWS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Part of the declared rate that is used, since the other view's entries may use as much. */
  private static final double USED_SHARE = 0.8;

  /**
   * Requests that an entry sends within this time may arrive within one second, since their delays
   * on the way to the server differ.
   */
  private static final double ARRIVAL_SECONDS = 1.1;

  /** Keeps one request more from fitting exactly into {@link #ARRIVAL_SECONDS}. */
  private static final double MARGIN = 0.01;

  /**
   * Returns the pace for a service.
   *
   * @param limit requests that a cold server may get in any second
   * @param entries number of live entries, at least 1
   */
  static ColdPace of(WarmUp warmUp, double limit, int entries) {
    int senders = (int) Math.max(1, Math.min(Math.min(MAX_SENDERS, entries), limit / VIEWS));
    double perSender = Math.max(1, Math.floor(limit / VIEWS / senders));
    return new ColdPace(
        senders,
        Math.min(
            warmUp.requestsPerSecond() * USED_SHARE,
            senders * (perSender - MARGIN) / ARRIVAL_SECONDS));
  }

  /** Returns the shortest time between two requests of one entry. */
  long intervalNanos() {
    return (long) (NANOS_PER_SECOND * senders / requestsPerSecond);
  }
}
