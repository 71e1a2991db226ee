package org.endivemux.routing;

import org.endivemux.model.ClassName;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.RequestId;

/**
 * Holds what the scheduler needs to know about one request. Immutable and thread-safe.
 *
 * @param route name of the model or service
 * @param repeatable whether the request may run more than once, and so may run on spot servers
 * @param arrivedAt monotonic nanoseconds
 * @param promptTokens estimated tokens to prefill; 0 for a plain service
 * @param prefix digest of the part of the prompt that other requests may share; 0 for none
 */
public record Job(
    RequestId id,
    OrganisationId organisation,
    ClassName requestClass,
    String route,
    boolean repeatable,
    long arrivedAt,
    int promptTokens,
    long prefix) {}
