package org.endivemux.routing.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Holds what one entry knows about the load of one backend server.
 *
 * <p>Invariants: own attempts are counted exactly, those of other entries by their latest digests;
 * after a failure the server is in backoff for a time that doubles with each further failure, up to
 * a limit. Confined to the scheduler's thread.
 */
final class ServerLoad {
  private static final long INITIAL_BACKOFF_NANOS = 200_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final long PEER_LOAD_EXPIRY_NANOS = 1_500_000_000L;

  /** After this time a newer list shows which server has the address. */
  private static final long LIST_UPDATE_LAG_NANOS = 2_000_000_000L;

  /** A full engine has to work off its queue before it accepts another request. */
  private static final long FULL_BACKOFF_NANOS = 250_000_000L;

  private static final double ERROR_SHARE_WEIGHT = 0.08;

  /** Estimated part of an engine's memory that holds cached prompts. */
  private static final double PREFIX_CACHE_SHARE = 0.5;

  private final Map<RequestId, Running> running = new LinkedHashMap<>();
  private final Map<RequestId, Integer> held = new HashMap<>();
  private final long memoryTokens;
  private long ownHeldTokens;
  private final Map<String, PeerLoad> peers = new HashMap<>();
  private PeerLoad peerSum = PeerLoad.NONE;
  private final PrefixCacheEstimate prefixCache;
  private final ServerSpeed speed = new ServerSpeed();
  private GatewayServer server;
  private long pendingPrefillTokens;
  private int failures;
  private long backoffUntil = Long.MIN_VALUE;
  private double errorShare;

  ServerLoad(GatewayServer server, long memoryTokens) {
    this.server = server;
    this.memoryTokens = memoryTokens;
    this.prefixCache = new PrefixCacheEstimate((long) (memoryTokens * PREFIX_CACHE_SHARE));
  }

  GatewayServer server() {
    return server;
  }

  void updateListing(GatewayServer newer) {
    server = newer;
  }

  ServerSpeed speed() {
    return speed;
  }

  int own() {
    return running.size();
  }

  int total(long now) {
    return own() + peerSum(now).requests();
  }

  /** Returns the pending prefill tokens of the attempts of all entries. */
  long pendingPrefillTokens(long now) {
    return pendingPrefillTokens + peerSum(now).pendingPrefillTokens();
  }

  /** Returns the sum over peers, which is recomputed only when a digest arrives or expires. */
  private PeerLoad peerSum(long now) {
    if (now - peerSum.at() >= PEER_LOAD_EXPIRY_NANOS) {
      peers.values().removeIf(peer -> now - peer.at() >= PEER_LOAD_EXPIRY_NANOS);
      sumPeers();
    }
    return peerSum;
  }

  private void sumPeers() {
    peerSum =
        peers.values().stream()
            .reduce(
                (one, other) ->
                    new PeerLoad(
                        one.requests() + other.requests(),
                        one.pendingPrefillTokens() + other.pendingPrefillTokens(),
                        one.heldTokens() + other.heldTokens(),
                        Math.min(one.at(), other.at())))
            .orElse(PeerLoad.NONE);
  }

  void updatePeer(String peer, Optional<InFlightAt> inFlight, long now) {
    if (inFlight.isPresent()) {
      InFlightAt load = inFlight.get();
      peers.put(
          peer, new PeerLoad(load.requests(), load.pendingPrefillTokens(), load.heldTokens(), now));
    } else {
      peers.remove(peer);
    }
    sumPeers();
  }

  boolean isBackingOff(long now) {
    return now < backoffUntil;
  }

  /** Returns the pending prefill tokens of own attempts that have no first event yet. */
  long ownPendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /** Returns the tokens that own attempts may come to hold in the engine's memory. */
  long ownHeldTokens() {
    return ownHeldTokens;
  }

  /** Returns the tokens that may still be held, or a very large number if that is not declared. */
  long freeMemoryTokens(long now) {
    return memoryTokens == 0
        ? Long.MAX_VALUE
        : memoryTokens - ownHeldTokens - peerSum(now).heldTokens();
  }

  int cachedTokens(PromptShape prompt) {
    return prefixCache.cachedTokens(prompt);
  }

  /** Returns how many tokens of a prompt the engine has to prefill. */
  int uncachedTokens(PromptShape prompt) {
    return Math.max(0, prompt.tokens() - cachedTokens(prompt));
  }

  double errorShare() {
    return errorShare;
  }

  /** Returns what would be pending if a job started now. */
  long prefillTokensWith(FleetJob job, long now) {
    return pendingPrefillTokens(now) + uncachedTokens(job.prompt());
  }

  void started(FleetJob job, long now) {
    int uncached = uncachedTokens(job.prompt());
    running.put(
        job.id(),
        new Running(
            uncached,
            prefillTokensWith(job, now),
            now,
            OptionalLong.empty(),
            job.prompt().tokens() == 0));
    pendingPrefillTokens += uncached;
    int tokens = job.prompt().tokens() + job.prompt().maxAnswerTokens();
    held.put(job.id(), tokens);
    ownHeldTokens += tokens;
    prefixCache.recordSent(job.prompt());
  }

  /** Records the first event of an answer, when the prefill is complete. */
  void firstEventReceived(RequestId id, PrefillRate prefillRate, long now) {
    Running known = running.get(id);
    if (known == null || known.firstEventAt().isPresent()) {
      return;
    }
    running.put(id, known.prefilled(now));
    pendingPrefillTokens -= known.pendingPrefillTokens();
    prefillRate
        .observe(known.tokensUntilFirstEvent(), now - known.startedAt())
        .ifPresent(ratio -> speed.observe(ratio, now));
  }

  /** Returns when the first event of an attempt arrived, if one has. */
  OptionalLong firstEventAt(RequestId id) {
    Running known = running.get(id);
    return known == null ? OptionalLong.empty() : known.firstEventAt();
  }

  /** Returns when an attempt without a prompt started; empty for others. */
  OptionalLong plainStartedAt(RequestId id) {
    Running known = running.get(id);
    return known == null || !known.plain()
        ? OptionalLong.empty()
        : OptionalLong.of(known.startedAt());
  }

  void ended(RequestId id, AttemptResult end, long now) {
    Running known = running.remove(id);
    ownHeldTokens -= Optional.ofNullable(held.remove(id)).orElse(0);
    pendingPrefillTokens -= known == null ? 0 : known.pendingPrefillTokens();
    switch (end) {
      case OK -> {
        failures = 0;
        errorShare -= ERROR_SHARE_WEIGHT * errorShare;
      }
      case ERROR -> errorShare += ERROR_SHARE_WEIGHT * (1 - errorShare);
      case REFUSED, FAILED, SILENT -> failed(now);
      case GONE -> backoffUntil = now + LIST_UPDATE_LAG_NANOS;
      case FULL -> backoffUntil = now + FULL_BACKOFF_NANOS;
      case CANCELLED -> {}
    }
  }

  private void failed(long now) {
    errorShare += ERROR_SHARE_WEIGHT * (1 - errorShare);
    backoffUntil = now + (INITIAL_BACKOFF_NANOS << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
    failures++;
  }

  /**
   * Holds one own attempt.
   *
   * @param tokensUntilFirstEvent tokens of all attempts that were pending when this one started
   * @param firstEventAt when the first event arrived; empty before that
   * @param plain whether the request has no prompt
   */
  private record Running(
      int pendingPrefillTokens,
      long tokensUntilFirstEvent,
      long startedAt,
      OptionalLong firstEventAt,
      boolean plain) {
    Running prefilled(long now) {
      return new Running(0, 0, startedAt, OptionalLong.of(now), plain);
    }
  }

  /** Holds what peers have in flight; {@code at} is when the oldest digest arrived. */
  private record PeerLoad(int requests, long pendingPrefillTokens, long heldTokens, long at) {
    static final PeerLoad NONE = new PeerLoad(0, 0, 0, Long.MAX_VALUE);
  }
}
