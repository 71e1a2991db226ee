package org.endivemux.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.endivemux.gateway.BackendPort.SendMarker;
import org.endivemux.model.BackendServerId;

/**
 * Follows one request over all of its tries.
 *
 * <p>Used by one request on the event loop.
 */
final class Progress {
  private final Set<BackendServerId> used = new HashSet<>();
  private int sends;
  private int runs;
  private SendMarker current = new SendMarker();
  private boolean headDelivered;
  private boolean counted;
  private OptionalLong lastEvent;
  private Optional<RetainedResponse> kept = Optional.empty();

  /** Holds a backend server's own error answer, for the case that no other try does better. */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are handed on, not compared.
  record RetainedResponse(ResponsePart.Head head, byte[] body) {}

  Progress(OptionalLong lastEvent) {
    this.lastEvent = lastEvent;
  }

  /** Notes a try; {@code left} tells whether it may have reached its server. */
  void sent(BackendServerId server, SendMarker left) {
    sends++;
    used.add(server);
    current = left;
  }

  void mayHaveRun() {
    runs++;
  }

  void didNotRun() {
    current = new SendMarker();
  }

  /** Returns whether any try, the present one included, may have run or still runs. */
  boolean isMaybeRun() {
    return runs > 0 || current.mayHaveSent();
  }

  void keep(RetainedResponse answer) {
    kept = Optional.of(answer);
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

  Set<BackendServerId> used() {
    return used;
  }

  int sends() {
    return sends;
  }

  int runs() {
    return runs;
  }

  boolean headDelivered() {
    return headDelivered;
  }

  OptionalLong lastEvent() {
    return lastEvent;
  }

  Optional<RetainedResponse> kept() {
    return kept;
  }
}
