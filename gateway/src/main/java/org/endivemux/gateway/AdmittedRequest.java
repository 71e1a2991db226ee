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
  private static final long MIN_PATIENCE_MILLIS = 2000;
  private static final int PATIENCE_TARGETS = 4;
  private static final int PATIENCE_GAPS = 8;

  /** Returns when the caller leaves if it has nothing of the response by then. */
  long callerLeavesAt() {
    long patience =
        Math.max(
            MIN_PATIENCE_MILLIS,
            Math.max(PATIENCE_TARGETS * route.targetMillis(), PATIENCE_GAPS * route.gapMillis()));
    return route.kind() == RequestKind.STREAM
        ? Math.min(deadline, arrivedAt + patience * NANOS_PER_MILLI)
        : deadline;
  }
}
