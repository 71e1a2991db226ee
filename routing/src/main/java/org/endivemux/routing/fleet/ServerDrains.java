package org.endivemux.routing.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Knows until when a server that leaves may still get requests that no other server can run.
 *
 * <p>A server serves for a known time after it is first listed as leaving, and after it says so
 * itself. Invariants: the end is never later than that time less {@link #MARGIN}, counted from the
 * earlier of both; it never moves to a later time while the server leaves, whatever clocks and
 * lists say; a server that is listed as leaving since an unknown time gets nothing. Does no I/O and
 * reads no clock: monotonic nanoseconds are passed in. Not thread-safe.
 */
final class ServerDrains {
  /** Covers the way to the server and the error of the estimate of true time. */
  private static final Duration MARGIN = Duration.ofMillis(300);

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long usableNanos;
  private final ServerNotices notices;

  /** The end of each server that is listed as leaving since a known time, in nanoseconds. */
  private final Map<BackendServerId, Long> listedEnds = new HashMap<>();

  /**
   * @param drain how long a server serves after it is first listed as leaving; without any use of
   *     it if this is at most {@link #MARGIN}
   */
  ServerDrains(Duration drain, ServerNotices notices) {
    this.usableNanos = Math.max(0, drain.minus(MARGIN).toNanos());
    this.notices = notices;
  }

  /**
   * Replaces the list of servers.
   *
   * @param trueMillis true time at {@code now}, in Unix milliseconds
   */
  void updateServers(List<GatewayServer> listed, long now, long trueMillis) {
    List<GatewayServer> leaving = listed.stream().filter(GatewayServer::leaving).toList();
    listedEnds
        .keySet()
        .retainAll(leaving.stream().map(GatewayServer::id).collect(Collectors.toSet()));
    leaving.stream()
        .filter(server -> server.leavingSinceMillis() > 0)
        .forEach(
            server -> {
              long age = (trueMillis - server.leavingSinceMillis()) * NANOS_PER_MILLI;
              listedEnds.merge(server.id(), now - age + usableNanos, Math::min);
            });
  }

  /** Returns whether a server leaves and still serves. */
  boolean isServing(GatewayServer server, long now) {
    OptionalLong noticed = notices.leavingSince(server.id());
    boolean isLeaving = server.leaving() || noticed.isPresent();
    return isLeaving && isBeforeListedEnd(server, now) && isBeforeNoticedEnd(noticed, now);
  }

  private boolean isBeforeListedEnd(GatewayServer server, long now) {
    Long end = listedEnds.get(server.id());
    return !server.leaving() || (end != null && now - end < 0);
  }

  private boolean isBeforeNoticedEnd(OptionalLong noticedAt, long now) {
    return noticedAt.isEmpty() || now - noticedAt.getAsLong() < usableNanos;
  }
}
