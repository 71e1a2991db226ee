package org.endivemux.routing.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Holds what one entry knows of one backend server.
 *
 * <p>Invariants: own tries are counted exactly, those of other entries by their latest digests;
 * after a failure the server rests for a time that doubles with each further one. Confined to the
 * scheduler's thread.
 */
final class ServerLoad {
  private static final long FIRST_REST_NANOS = 200_000_000L;
  private static final int MOST_DOUBLINGS = 4;
  private static final long PEERS_FORGOTTEN_NANOS = 1_500_000_000L;

  /** A newer list names the server that has the address by then. */
  private static final long LIST_LAG_NANOS = 2_000_000_000L;

  /** A full engine has a queue to work off before it takes anything again. */
  private static final long FULL_NANOS = 250_000_000L;

  private static final double ERROR_WEIGHT = 0.08;

  /** Part of an engine's memory that is taken for kept prompts. */
  private static final double KEPT_SHARE = 0.5;

  private final Map<RequestId, Running> running = new LinkedHashMap<>();
  private final Map<String, PeerLoad> peers = new HashMap<>();
  private PeerLoad peerSum = PeerLoad.NONE;
  private final PrefixMemory prefixes;
  private GatewayServer server;
  private long unreadTokens;
  private int failures;
  private long restsUntil = Long.MIN_VALUE;
  private double errorShare;

  ServerLoad(GatewayServer server, long memoryTokens) {
    this.server = server;
    this.prefixes = new PrefixMemory((long) (memoryTokens * KEPT_SHARE));
  }

  GatewayServer server() {
    return server;
  }

  void listed(GatewayServer listed) {
    server = listed;
  }

  int own() {
    return running.size();
  }

  int total(long now) {
    return own() + peerSum(now).requests();
  }

  /** Returns the prompt tokens that tries of all entries have still to be read. */
  long unreadTokens(long now) {
    return unreadTokens + peerSum(now).unread();
  }

  /** Returns the sum over peers; it is added up again only when a digest is new or forgotten. */
  private PeerLoad peerSum(long now) {
    if (now - peerSum.at() >= PEERS_FORGOTTEN_NANOS) {
      peers.values().removeIf(peer -> now - peer.at() >= PEERS_FORGOTTEN_NANOS);
      addUpPeers();
    }
    return peerSum;
  }

  private void addUpPeers() {
    peerSum =
        peers.values().stream()
            .reduce(
                (one, other) ->
                    new PeerLoad(
                        one.requests() + other.requests(),
                        one.unread() + other.unread(),
                        Math.min(one.at(), other.at())))
            .orElse(PeerLoad.NONE);
  }

  void peerHas(String peer, Optional<InFlightAt> inFlight, long now) {
    if (inFlight.isPresent()) {
      InFlightAt load = inFlight.get();
      peers.put(peer, new PeerLoad(load.requests(), load.pendingPrefillTokens(), now));
    } else {
      peers.remove(peer);
    }
    addUpPeers();
  }

  boolean rests(long now) {
    return now < restsUntil;
  }

  /** Returns the prompt tokens of own tries that have no first event yet. */
  long ownUnreadTokens() {
    return unreadTokens;
  }

  int covered(PromptShape prompt) {
    return prefixes.covered(prompt);
  }

  double errorShare() {
    return errorShare;
  }

  void started(FleetJob job) {
    int unread = Math.max(0, job.prompt().tokens() - covered(job.prompt()));
    running.put(job.id(), new Running(unread));
    unreadTokens += unread;
    prefixes.sent(job.prompt());
  }

  /** Notes the first event of an answer. */
  void answered(RequestId id) {
    Running known = running.replace(id, new Running(0));
    unreadTokens -= known == null ? 0 : known.unread();
  }

  void ended(RequestId id, TryEnd end, long now) {
    Running known = running.remove(id);
    unreadTokens -= known == null ? 0 : known.unread();
    switch (end) {
      case OK -> {
        failures = 0;
        errorShare -= ERROR_WEIGHT * errorShare;
      }
      case ERROR -> errorShare += ERROR_WEIGHT * (1 - errorShare);
      case FAILED -> failed(now);
      case GONE -> restsUntil = now + LIST_LAG_NANOS;
      case FULL -> restsUntil = now + FULL_NANOS;
      case CANCELLED -> {}
    }
  }

  private void failed(long now) {
    errorShare += ERROR_WEIGHT * (1 - errorShare);
    restsUntil = now + (FIRST_REST_NANOS << Math.min(failures, MOST_DOUBLINGS));
    failures++;
  }

  private record Running(int unread) {}

  /** Holds what peers have in flight; {@code at} is when the oldest part was heard. */
  private record PeerLoad(int requests, long unread, long at) {
    static final PeerLoad NONE = new PeerLoad(0, 0, Long.MAX_VALUE);
  }
}
