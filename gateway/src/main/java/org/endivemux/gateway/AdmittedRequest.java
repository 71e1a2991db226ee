package org.endivemux.gateway;

import java.util.Optional;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.ServiceName;

/**
 * Holds a request that a route takes, by the configuration of the moment of its arrival.
 *
 * <p>Not changed after it was made; times are monotonic nanoseconds.
 *
 * @param urgency rank of the request, 0 is the most urgent
 * @param longPrompts whether the route brings long prompts
 * @param deadline when the caller must have the whole answer
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
