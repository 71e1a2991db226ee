package org.endivemux.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.routing.RetryPolicy.Delivered;
import org.endivemux.wire.SendMarker;

/**
 * Tracks one request over all of its attempts.
 *
 * <p>Not thread-safe: used by one request, on its event loop.
 */
final class Progress {
  private final Set<BackendServerId> usedServers = new HashSet<>();
  private int attempts;
  private int possibleRuns;
  private final List<SendMarker> unsettled = new ArrayList<>();
  private boolean headDelivered;
  private boolean counted;
  private OptionalLong lastEvent;
  private Optional<RetainedResponse> retained = Optional.empty();
  private Optional<StreamOrigin> origin = Optional.empty();

  /** Holds a backend server's error response, for the case that no other attempt succeeds. */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are passed on, not compared.
  record RetainedResponse(ResponsePart.Head head, byte[] body) {}

  Progress(OptionalLong lastEvent) {
    this.lastEvent = lastEvent;
  }

  /** Records which version began the stream that the request resumes. */
  void resumes(SoftwareVersion version) {
    origin = Optional.of(new StreamOrigin(Optional.of(version)));
  }

  /** Records that a server has sent the first event of an attempt. */
  void streamRunsAt(GatewayServer server) {
    origin = origin.or(() -> Optional.of(StreamOrigin.of(server)));
  }

  /** Returns which servers may continue the request's stream; empty before its first event. */
  Optional<StreamOrigin> origin() {
    return origin;
  }

  /** Records the start of an attempt; {@code marker} tells whether it may have been sent. */
  void startAttempt(BackendServerId server, SendMarker marker) {
    attempts++;
    usedServers.add(server);
    unsettled.add(marker);
  }

  /** Records that an attempt has ended and may have run. */
  void recordPossibleRun(SendMarker marker) {
    possibleRuns++;
    unsettled.remove(marker);
  }

  /** Records that an attempt has ended and certainly did not run. */
  void recordNotRun(SendMarker marker) {
    unsettled.remove(marker);
  }

  /**
   * Ends the request: abandons the attempts that have not been sent, and returns whether any
   * attempt may have run or may still run.
   */
  boolean endAndCheckMayHaveRun() {
    long sent = unsettled.stream().filter(marker -> !marker.tryAbandon()).count();
    return sent > 0 || possibleRuns > 0;
  }

  /** Returns how many servers the request may have run on when the current attempts have ended. */
  int runsWithCurrent() {
    return possibleRuns + unsettled.size();
  }

  void retain(RetainedResponse response) {
    retained = Optional.of(response);
  }

  void delivered(OptionalLong event) {
    headDelivered = true;
    lastEvent = event.isPresent() ? event : lastEvent;
  }

  /** Returns true for the first call only. */
  boolean countOnce() {
    boolean first = !counted;
    counted = true;
    return first;
  }

  Set<BackendServerId> usedServers() {
    return usedServers;
  }

  int attempts() {
    return attempts;
  }

  int possibleRuns() {
    return possibleRuns;
  }

  boolean headDelivered() {
    return headDelivered;
  }

  /** Returns what the caller has of the response. */
  Delivered deliveredPart() {
    if (!headDelivered) {
      return Delivered.NOTHING;
    }
    return lastEvent.isPresent() ? Delivered.RESUMABLE : Delivered.NOT_RESUMABLE;
  }

  OptionalLong lastEvent() {
    return lastEvent;
  }

  Optional<RetainedResponse> retained() {
    return retained;
  }
}
