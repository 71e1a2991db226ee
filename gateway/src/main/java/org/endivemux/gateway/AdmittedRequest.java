package org.endivemux.gateway;

import java.util.Optional;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;

/**
 * Holds a request that was admitted to a route by the configuration in force when it arrived.
 *
 * <p>Not modified after construction; times are monotonic nanoseconds.
 *
 * @param urgency rank of the request, 0 is the most urgent
 * @param longPrompts whether the route's requests have long prompts
 * @param arrivedAt the earliest time at which the request can have arrived
 * @param deadline when the caller must have the complete response
 */
public record AdmittedRequest(
    RequestHead head,
    HostRoute route,
    ServiceName service,
    Optional<OrganisationId> organisation,
    int urgency,
    boolean longPrompts,
    long arrivedAt,
    long deadline) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Callers end a stream that has no event yet after the longest of this time, a multiple of the
   * route's target and a multiple of its longest allowed pause.
   */
  private static final long MIN_CALLER_WAIT_MILLIS = 2000;

  private static final int CALLER_WAIT_TARGETS = 4;
  private static final int CALLER_WAIT_GAPS = 8;

  /**
   * Time beyond two timeouts of its route within which a stream ends, with all of the attempts of
   * its caller, even if its route had another timeout when it began.
   */
  private static final long STREAM_LIFETIME_MARGIN_MILLIS = 5000;

  /** Returns how long a stream of the route may be resumed after its first event. */
  long streamLifetimeMillis() {
    return 2 * route.timeoutMillis() + STREAM_LIFETIME_MARGIN_MILLIS;
  }

  /** Returns whether the request continues a stream that an earlier attempt of its caller began. */
  boolean isResumption() {
    return route.kind() == RequestKind.STREAM && head.resumeAfter().isPresent();
  }

  /** Returns when the caller leaves if it has nothing of the response by then. */
  long callerLeavesAt() {
    long waitMillis =
        Math.max(
            MIN_CALLER_WAIT_MILLIS,
            Math.max(
                CALLER_WAIT_TARGETS * route.targetMillis(), CALLER_WAIT_GAPS * route.gapMillis()));
    return route.kind() == RequestKind.STREAM
        ? Math.min(deadline, arrivedAt + waitMillis * NANOS_PER_MILLI)
        : deadline;
  }
}
