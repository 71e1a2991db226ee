package org.endivemux.model.gateway;

import java.util.Optional;

/**
 * Holds the declaration of a service. Immutable and thread-safe.
 *
 * @param maxConnections connections that one backend server accepts in total
 * @param engine present when the backend servers are model engines
 * @param capacity present when backend servers may be ordered
 */
public record ServiceSpec(
    ServiceName name,
    int maxConnections,
    Optional<EngineProfile> engine,
    Optional<CapacityBounds> capacity) {}
