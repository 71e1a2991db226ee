package org.endivemux.routing.fleet;

import java.util.Optional;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Holds the server that a job is bound to. Immutable and thread-safe.
 *
 * @param copyFrom another server that probably has shared parts of the prompt cached that this one
 *     lacks
 * @param expectedPrefillNanos time until the server has prefilled what is pending there, this job
 *     included
 */
public record Binding(
    FleetJob job,
    GatewayServer server,
    Optional<GatewayServer> copyFrom,
    long expectedPrefillNanos) {}
