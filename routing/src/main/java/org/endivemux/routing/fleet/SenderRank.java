package org.endivemux.routing.fleet;

import org.endivemux.model.BackendServerId;

/**
 * Holds this entry's rank for one server of which only the highest ranking entries are senders.
 *
 * <p>Invariant: an entry that becomes a sender counts as new until the list of entries that made it
 * one has reached the others. Not thread-safe.
 */
final class SenderRank {
  /** Time in which a change of the list of entries reaches all entries in contact. */
  private static final long TAKEOVER_NANOS = 1_000_000_000L;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final BackendServerId server;
  private int rank = Integer.MAX_VALUE;
  private long rankedAt = NEVER;
  private long senderSince;

  SenderRank(BackendServerId server) {
    this.server = server;
  }

  /** Computes the rank again if the list of entries has changed; returns it. */
  int update(EntryRanks ranks, int senders) {
    if (rankedAt != ranks.changedAt()) {
      if (rankedAt == NEVER || rank >= senders) {
        senderSince = ranks.changedAt();
      }
      rank = ranks.rank(server);
      rankedAt = ranks.changedAt();
    }
    return rank;
  }

  /** Returns whether a sender may send: all others know that it is one. */
  boolean hasTakenOver(long now) {
    return now - senderSince >= TAKEOVER_NANOS;
  }
}
