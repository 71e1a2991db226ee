package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Keeps the requests that all entries together send to a server within the rate limit that the
 * server has stated in its responses, without communication.
 *
 * <p>Invariants: a limit is in force from the response that states it until a response to a later
 * request states none; the entries that rank highest for a server send it most of its limit, each
 * at its part of the rate and without a backlog; the others, who must learn of the end of the limit
 * too, take turns for the rest; an entry that becomes a sender waits until the list of entries has
 * reached the others. Does no I/O and reads no clock: monotonic nanoseconds are passed in. Not
 * thread-safe.
 */
public final class StatedLimits {
  /** A server that states less still gets this, since nobody would learn of the end otherwise. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private static final double NANOS_PER_SECOND = 1e9;

  private final EntryRanks ranks;
  private final Map<BackendServerId, State> states = new HashMap<>();

  /**
   * @param self this entry
   * @param liveEntries returns the list of live entries, empty as long as it is not known
   */
  public StatedLimits(VmId self, Supplier<List<EntryInfo>> liveEntries) {
    this.ranks = new EntryRanks(self, liveEntries);
  }

  /** Returns limits for an entry that knows no other entry and sends nothing to limited servers. */
  static StatedLimits withoutEntries() {
    return new StatedLimits(new VmId("unknown"), List::of);
  }

  /** Forgets servers that are no longer listed. */
  void updateServers(Collection<GatewayServer> listed) {
    states.keySet().retainAll(listed.stream().map(GatewayServer::id).collect(Collectors.toSet()));
  }

  /**
   * Records what a response states; returns whether the limit differs from the one before.
   *
   * @param requestsPerSecond limit for all entries together, empty if the response states none
   * @param sentAt when the request was sent: a response to an earlier request ends no limit
   */
  boolean stated(BackendServerId server, OptionalDouble requestsPerSecond, long sentAt, long now) {
    State known = states.get(server);
    if (requestsPerSecond.isEmpty()) {
      return known != null && sentAt - known.statedAt > 0 && states.remove(server, known);
    }
    double limit = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond.getAsDouble());
    State state = states.computeIfAbsent(server, id -> new State(id, now));
    boolean isNew = state.limit != limit;
    state.limit = limit;
    state.statedAt = now;
    return isNew;
  }

  /** Returns whether any server has a limit. */
  boolean isLimiting() {
    return !states.isEmpty();
  }

  /** Returns the number of servers that have a limit. */
  int count() {
    return states.size();
  }

  /** Returns whether this entry may send a request to a server now. */
  boolean allows(BackendServerId server, long now) {
    State state = states.get(server);
    if (state == null) {
      return true;
    }
    ranks.refresh(now);
    if (ranks.count() == 0) {
      return false;
    }
    LimitShares shares = LimitShares.of(state.limit, ranks.count());
    int rank = state.rank.update(ranks, shares.senders());
    if (rank < shares.senders()) {
      return state.rank.hasTakenOver(now)
          && now - state.sentAt >= nanosPerRequest(shares.requestsPerSender());
    }
    return rank < ranks.count() && hasTurn(state, rank - shares.senders(), shares, now);
  }

  /** Returns whether it is this entry's turn, in which it has not sent anything yet. */
  private boolean hasTurn(State state, int number, LimitShares shares, long now) {
    long turnNanos = nanosPerRequest(shares.requestsOfOthers());
    int others = ranks.count() - shares.senders();
    long turn = Math.floorDiv(now - state.since, turnNanos);
    return Math.floorMod(turn, others) == number
        && Math.floorDiv(state.sentAt - state.since, turnNanos) < turn;
  }

  private static long nanosPerRequest(double requestsPerSecond) {
    return (long) (NANOS_PER_SECOND / requestsPerSecond);
  }

  /** Records that a request is sent to a server. */
  void sent(BackendServerId server, long now) {
    State state = states.get(server);
    if (state != null) {
      state.sentAt = now;
    }
  }

  /** Holds the limit of one server and this entry's part in it. */
  private static final class State {
    private final SenderRank rank;
    private final long since;
    private double limit;
    private long statedAt;
    private long sentAt;

    /** Creates the state of a server that has just answered a request and stated its limit. */
    State(BackendServerId server, long now) {
      this.rank = new SenderRank(server);
      this.since = now;
      this.sentAt = now;
    }
  }
}
