package org.endivemux.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.routing.Observation.Result;

/**
 * Holds what one entry has learnt of one backend server.
 *
 * <p>Invariants: own requests are counted exactly; the learnt room stays between one and the
 * declared room; after a failure one probe at a time is let through. Confined to the scheduler's
 * thread.
 */
final class ServerState {
  private static final double WEIGHT = 0.1;
  private static final double DECREASE = 0.85;
  private static final int PREFIXES_KEPT = 512;
  private static final long FIRST_PAUSE_NANOS = 200_000_000L;
  private static final long LONGEST_PAUSE_NANOS = 5_000_000_000L;
  private static final long DECREASE_EVERY_NANOS = 500_000_000L;
  private static final long PEERS_FORGOTTEN_NANOS = 1_500_000_000L;

  BackendServer server;
  boolean leaving;
  private double room;
  private int ownProtected;
  private int ownOther;
  private final Map<String, PeerCount> peers = new LinkedHashMap<>();
  private Optional<Double> firstByteNanos = Optional.empty();
  private Optional<Double> nanosPerToken = Optional.empty();
  private int failures;
  private long pausedUntil = Long.MIN_VALUE;
  private long decreasedAt = Long.MIN_VALUE / 4;
  private final Map<Long, Boolean> prefixes =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > PREFIXES_KEPT;
        }
      };

  ServerState(BackendServer server) {
    this.server = server;
    this.room = server.capacity();
  }

  void declare(BackendServer declared) {
    if (declared.capacity() != server.capacity()) {
      room = declared.capacity();
    }
    server = declared;
  }

  int own() {
    return ownProtected + ownOther;
  }

  /** Returns the requests that other entries said they have here. */
  int ofPeers(long now) {
    return peers.values().stream()
        .filter(count -> now - count.at() < PEERS_FORGOTTEN_NANOS)
        .mapToInt(PeerCount::count)
        .sum();
  }

  void peerHas(String peer, int count, long now) {
    peers.put(peer, new PeerCount(count, now));
  }

  int total(long now) {
    return own() + ofPeers(now);
  }

  double room() {
    return room;
  }

  /**
   * Returns whether one more request may be sent.
   *
   * @param reservedShare part of the room that only protected classes may use
   */
  boolean hasRoom(boolean isProtected, double reservedShare, long now) {
    if (leaving || now < pausedUntil) {
      return false;
    }
    if (failures > 0) {
      return own() == 0;
    }
    double open = isProtected ? room : room - Math.ceil(room * reservedShare);
    return total(now) < Math.max(open, isProtected ? 1 : 0);
  }

  void started(Job job, boolean isProtected) {
    ownProtected += isProtected ? 1 : 0;
    ownOther += isProtected ? 0 : 1;
    if (job.prefix() != 0) {
      prefixes.put(job.prefix(), true);
    }
  }

  void ended(boolean isProtected, Observation seen, long targetNanos, long now) {
    boolean wasFull = total(now) >= Math.floor(room);
    ownProtected -= isProtected ? 1 : 0;
    ownOther -= isProtected ? 0 : 1;
    if (seen.result() == Result.OK) {
      succeeded(seen, targetNanos, wasFull, now);
    } else if (seen.result() == Result.FAILED) {
      failed(now);
    } else if (seen.result() == Result.BUSY) {
      shrink(now);
    }
  }

  private void succeeded(Observation seen, long targetNanos, boolean wasFull, long now) {
    failures = 0;
    pausedUntil = Long.MIN_VALUE;
    firstByteNanos = Optional.of(average(firstByteNanos, (double) seen.firstByteNanos()));
    if (seen.answerTokens() > 1) {
      double perToken =
          (double) (seen.totalNanos() - seen.firstByteNanos()) / (seen.answerTokens() - 1);
      nanosPerToken = Optional.of(average(nanosPerToken, perToken));
    }
    if (seen.firstByteNanos() > targetNanos) {
      shrink(now);
    } else if (wasFull) {
      room = Math.min(server.capacity(), room + 1 / room);
    }
  }

  private void failed(long now) {
    failures++;
    long pause = FIRST_PAUSE_NANOS << Math.min(failures, 10);
    pausedUntil = now + Math.min(pause, LONGEST_PAUSE_NANOS);
    prefixes.clear();
  }

  private void shrink(long now) {
    if (now - decreasedAt >= DECREASE_EVERY_NANOS) {
      decreasedAt = now;
      room = Math.max(1, room * DECREASE);
    }
  }

  private static double average(Optional<Double> before, double seen) {
    return before.map(known -> known + WEIGHT * (seen - known)).orElse(seen);
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
