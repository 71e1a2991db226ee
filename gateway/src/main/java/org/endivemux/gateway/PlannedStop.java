package org.endivemux.gateway;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Tells how far a planned stop of this process has come.
 *
 * <p>Invariant: the phases follow each other and none is left for an earlier one. Thread-safe.
 */
public final class PlannedStop {
  private enum Phase {
    SERVING,
    LEAVING,
    CLOSED,
    ENDED
  }

  private final Sinks.Empty<Void> ended = Sinks.empty();
  private volatile Phase phase = Phase.SERVING;

  /** Asks callers to use another entry from now on; requests are still served. */
  public void leave() {
    advanceTo(Phase.LEAVING);
  }

  /** Refuses as not run what has not been passed on to a backend server yet. */
  public void close() {
    advanceTo(Phase.CLOSED);
  }

  /** Answers what is still in progress, since the process ends soon. */
  public void end() {
    advanceTo(Phase.ENDED);
    var unused = ended.tryEmitEmpty();
  }

  private synchronized void advanceTo(Phase next) {
    phase = next.compareTo(phase) > 0 ? next : phase;
  }

  public boolean isLeaving() {
    return phase != Phase.SERVING;
  }

  public boolean isClosed() {
    return phase.compareTo(Phase.CLOSED) >= 0;
  }

  /** Completes when requests in progress have to be answered. */
  public Mono<Void> ended() {
    return ended.asMono();
  }
}
