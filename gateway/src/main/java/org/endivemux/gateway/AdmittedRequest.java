package org.endivemux.gateway;

import java.util.Optional;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.ServiceName;

/**
 * Holds a request that was admitted to a route by the configuration in force when it arrived.
 *
 * <p>Not modified after construction; times are monotonic nanoseconds.
 *
 * @param urgency rank of the request, 0 is the most urgent
 * @param longPrompts whether the route's requests have long prompts
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
    long deadline) {}
