package org.endivemux.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.routing.Observation.Result;

/**
 * Holds what one entry has learnt about one backend server.
 *
 * <p>Invariants: own requests are counted exactly; the learnt capacity stays between one and the
 * declared capacity; after a failure and its backoff, one probe at a time is admitted until one
 * succeeds. Confined to the scheduler's thread.
 */
final class ServerState {
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final double CAPACITY_DECREASE_FACTOR = 0.85;
  private static final int MAX_PREFIXES = 512;
  private static final long BASE_BACKOFF_NANOS = 200_000_000L;
  private static final long MAX_BACKOFF_NANOS = 5_000_000_000L;
  private static final long MIN_DECREASE_INTERVAL_NANOS = 500_000_000L;
  private static final long PEER_COUNT_EXPIRY_NANOS = 1_500_000_000L;

  BackendServer server;
  boolean leaving;
  private double capacity;
  private int ownProtected;
  private int ownOther;
  private final Map<String, PeerCount> peers = new LinkedHashMap<>();
  private Optional<Double> firstByteNanos = Optional.empty();
  private Optional<Double> nanosPerToken = Optional.empty();
  private int failures;
  private long backoffUntil = Long.MIN_VALUE;
  private long decreasedAt = Long.MIN_VALUE / 4;
  private final Map<Long, Boolean> prefixes =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > MAX_PREFIXES;
        }
      };

  ServerState(BackendServer server) {
    this.server = server;
    this.capacity = server.capacity();
  }

  void declare(BackendServer declared) {
    if (declared.capacity() != server.capacity()) {
      capacity = declared.capacity();
    }
    server = declared;
  }

  int own() {
    return ownProtected + ownOther;
  }

  /** Returns the requests that other entries report to have in flight at this server. */
  int ofPeers(long now) {
    return peers.values().stream()
        .filter(count -> now - count.at() < PEER_COUNT_EXPIRY_NANOS)
        .mapToInt(PeerCount::count)
        .sum();
  }

  void updatePeer(String peer, int count, long now) {
    peers.put(peer, new PeerCount(count, now));
  }

  int total(long now) {
    return own() + ofPeers(now);
  }

  double capacity() {
    return capacity;
  }

  /**
   * Returns whether one more request may be sent.
   *
   * @param reservedShare part of the capacity that only protected classes may use
   */
  boolean hasCapacity(boolean isProtected, double reservedShare, long now) {
    if (leaving || now < backoffUntil) {
      return false;
    }
    if (failures > 0) {
      return own() == 0;
    }
    double limit = isProtected ? capacity : capacity - Math.ceil(capacity * reservedShare);
    return total(now) < Math.max(limit, isProtected ? 1 : 0);
  }

  void started(Job job, boolean isProtected) {
    ownProtected += isProtected ? 1 : 0;
    ownOther += isProtected ? 0 : 1;
    if (job.prefix() != 0) {
      prefixes.put(job.prefix(), true);
    }
  }

  void ended(boolean isProtected, Observation seen, long targetNanos, long now) {
    boolean wasFull = total(now) >= Math.floor(capacity);
    ownProtected -= isProtected ? 1 : 0;
    ownOther -= isProtected ? 0 : 1;
    if (seen.result() == Result.OK) {
      succeeded(seen, targetNanos, wasFull, now);
    } else if (seen.result() == Result.FAILED) {
      failed(now);
    } else if (seen.result() == Result.BUSY) {
      decreaseCapacity(now);
    }
  }

  private void succeeded(Observation seen, long targetNanos, boolean wasFull, long now) {
    failures = 0;
    backoffUntil = Long.MIN_VALUE;
    firstByteNanos = Optional.of(average(firstByteNanos, (double) seen.firstByteNanos()));
    if (seen.answerTokens() > 1) {
      double perToken =
          (double) (seen.totalNanos() - seen.firstByteNanos()) / (seen.answerTokens() - 1);
      nanosPerToken = Optional.of(average(nanosPerToken, perToken));
    }
    if (seen.firstByteNanos() > targetNanos) {
      decreaseCapacity(now);
    } else if (wasFull) {
      capacity = Math.min(server.capacity(), capacity + 1 / capacity);
    }
  }

  private void failed(long now) {
    failures++;
    long backoff = BASE_BACKOFF_NANOS << Math.min(failures, 10);
    backoffUntil = now + Math.min(backoff, MAX_BACKOFF_NANOS);
    prefixes.clear();
  }

  private void decreaseCapacity(long now) {
    if (now - decreasedAt >= MIN_DECREASE_INTERVAL_NANOS) {
      decreasedAt = now;
      capacity = Math.max(1, capacity * CAPACITY_DECREASE_FACTOR);
    }
  }

  private static double average(Optional<Double> before, double seen) {
    return before.map(known -> known + SAMPLE_WEIGHT * (seen - known)).orElse(seen);
  }

  Optional<Double> firstByteNanos() {
    return firstByteNanos;
  }

  Optional<Double> nanosPerToken() {
    return nanosPerToken;
  }

  boolean mayHoldPrefix(long prefix) {
    return prefix != 0 && prefixes.containsKey(prefix);
  }

  private record PeerCount(int count, long at) {}
}
