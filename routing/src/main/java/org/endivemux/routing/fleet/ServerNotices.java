package org.endivemux.routing.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.endivemux.model.BackendServerId;

/**
 * Holds what backend servers have said of themselves in their responses: that they leave, or that
 * they want no requests for some time.
 *
 * <p>Invariants: a server that leaves stays so under its id, whatever the platform's list says; a
 * paused server gets nothing until the end of its pause, and then a share of its slots that grows
 * to all of them within {@link #RESUMPTION_NANOS}. Does no I/O and reads no clock: monotonic
 * nanoseconds are passed in. Not thread-safe.
 */
public final class ServerNotices {
  /** Time in which a server gets back to all of its slots after a pause. */
  public static final long RESUMPTION_NANOS = 500_000_000L;

  /** Longer than a server takes to leave; a server that starts later may have the same id. */
  private static final long LEAVING_EXPIRY_NANOS = 300_000_000_000L;

  private final long maxPauseNanos;
  private final Map<BackendServerId, Long> leavingSince = new HashMap<>();
  private final Map<BackendServerId, Long> pausedUntil = new HashMap<>();

  /**
   * @param maxPause longest pause that a server is granted
   */
  public ServerNotices(Duration maxPause) {
    this.maxPauseNanos = maxPause.toNanos();
  }

  /** Records that a server leaves; returns whether that is new. */
  public boolean leaves(BackendServerId server, long now) {
    leavingSince.values().removeIf(since -> now - since > LEAVING_EXPIRY_NANOS);
    return leavingSince.putIfAbsent(server, now) == null;
  }

  /** Records that a server wants no requests for some time; returns the end of its pause. */
  public long pauses(BackendServerId server, Duration length, long now) {
    pausedUntil.values().removeIf(end -> now - end > RESUMPTION_NANOS);
    long end = now + Math.min(length.toNanos(), maxPauseNanos);
    return pausedUntil.merge(server, end, Math::max);
  }

  /** Returns how many of a server's slots its pause leaves, whether it leaves or not. */
  int usableSlots(BackendServerId server, int slots, long now) {
    Long end = pausedUntil.get(server);
    if (end == null) {
      return slots;
    }
    return now < end ? 0 : SlotRamp.usableSlots(1, slots, now - end, RESUMPTION_NANOS);
  }

  /** Returns the earliest end of the servers' pauses, or empty if one of them has no pause. */
  OptionalLong earliestEnd(Collection<BackendServerId> servers, long now) {
    boolean allPaused =
        !servers.isEmpty()
            && servers.stream().allMatch(server -> pausedUntil.getOrDefault(server, now) > now);
    return allPaused ? servers.stream().mapToLong(pausedUntil::get).min() : OptionalLong.empty();
  }

  boolean isLeaving(BackendServerId server) {
    return leavingSince.containsKey(server);
  }

  /** Returns when a server first said that it leaves, in monotonic nanoseconds, if it did. */
  OptionalLong leavingSince(BackendServerId server) {
    Long since = leavingSince.get(server);
    return since == null ? OptionalLong.empty() : OptionalLong.of(since);
  }

  /** Returns the servers that have said that they leave. */
  public List<BackendServerId> leaving() {
    return leavingSince.keySet().stream().sorted().toList();
  }

  /** Returns the number of servers that are paused. */
  public int pausedCount(long now) {
    return (int) pausedUntil.values().stream().filter(end -> end > now).count();
  }
}
