package org.endivemux.routing.fleet;

import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.WarmUp;

/**
 * Holds what one entry knows about the warm-up of one server.
 *
 * <p>Invariant: the listed end of a cold period is converted to monotonic time once, when it
 * arrives, so that later corrections of true time do not move it. Confined to its {@link
 * WarmUpLimit}.
 */
final class ColdState {
  /** Age of the list when an entry gets it: 800 ms lag, 700 ms until it is read. */
  static final long LIST_LAG_NANOS = 1_500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private GatewayServer server;
  private long listedEndMillis;
  private long listedEnd = NEVER;
  private long suspectedAt = NEVER;
  private long supersededFrom;
  private long refusedAt = NEVER;
  private long listedRefusalMillis;
  private long evacuatedUntil = NEVER;
  private long sentAt = NEVER;
  private final SenderRank rank;

  ColdState(GatewayServer server) {
    this.server = server;
    this.rank = new SenderRank(server.id());
  }

  GatewayServer server() {
    return server;
  }

  /**
   * Updates the listing; returns whether the server is listed as cold until a new end.
   *
   * @param trueMillis true time at {@code now}, in Unix milliseconds
   */
  boolean updateListing(GatewayServer newer, long now, long trueMillis) {
    server = newer;
    boolean isNew = newer.coldUntilMillis() > 0 && newer.coldUntilMillis() != listedEndMillis;
    if (!isNew) {
      return false;
    }
    listedEndMillis = newer.coldUntilMillis();
    listedEnd = now + (listedEndMillis - trueMillis) * NANOS_PER_MILLI;
    if (now >= supersededFrom) {
      suspectedAt = NEVER;
    }
    return listedEnd > now;
  }

  /**
   * Treats the server as cold until a newer list states the end, or for as long as a start takes.
   */
  void suspect(long now) {
    suspectedAt = now;
    supersededFrom = now;
  }

  /** Treats a failed server as cold; a list that was read before the failure does not end this. */
  void suspectAfterFailure(long now) {
    suspectedAt = now;
    supersededFrom = now + LIST_LAG_NANOS;
  }

  /** Records that the server refused a connection of this entry. */
  void refused(long now) {
    refusedAt = now;
  }

  /** Returns whether the server refused a connection before a list can have shown its restart. */
  boolean hasRefusedLately(long now) {
    return now - refusedAt < LIST_LAG_NANOS;
  }

  /**
   * Updates when the server refused a connection of any entry; returns whether it is treated as
   * cold because of a refusal that was not known.
   *
   * @param trueMillis true time at {@code now}, in Unix milliseconds
   */
  boolean updateRefusal(GatewayServer newer, long now, long trueMillis) {
    if (newer.refusedAtMillis() <= listedRefusalMillis) {
      return false;
    }
    listedRefusalMillis = newer.refusedAtMillis();
    long at = now - Math.max(0, trueMillis - listedRefusalMillis) * NANOS_PER_MILLI;
    boolean isNews = now - at < LIST_LAG_NANOS && at + LIST_LAG_NANOS > supersededFrom;
    if (isNews) {
      suspectAfterFailure(at);
    }
    return isNews;
  }

  /**
   * Returns whether the server failed so recently that other entries may not know it and use it as
   * a warm one.
   */
  boolean isFailureUnlisted(long now) {
    return now < supersededFrom;
  }

  void evacuationEnded(long now) {
    evacuatedUntil = now;
  }

  long evacuatedUntil() {
    return evacuatedUntil;
  }

  /** Returns when the server is warm, which may be in the past. */
  long coldEnd(WarmUp warmUp) {
    return Math.max(
        listedEnd, suspectedAt + warmUp.startMillis() * NANOS_PER_MILLI + LIST_LAG_NANOS);
  }

  void sent(long now) {
    sentAt = now;
  }

  long sentAt() {
    return sentAt;
  }

  /** Returns this entry's rank among the live entries. */
  SenderRank rank() {
    return rank;
  }
}
