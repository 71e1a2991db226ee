package org.endivemux.model.gateway;

import java.util.Optional;

/**
 * Holds the declaration of a service. Immutable and thread-safe.
 *
 * @param maxConnections connections that one backend server accepts in total
 * @param engine present when the backend servers are model engines
 * @param capacity present when backend servers may be ordered
 * @param warmUp present when backend servers are slow after a start
 */
public record ServiceSpec(
    ServiceName name,
    int maxConnections,
    Optional<EngineProfile> engine,
    Optional<CapacityBounds> capacity,
    Optional<WarmUp> warmUp) {
  public ServiceSpec {
    // A process of an earlier version sends none.
    warmUp = warmUp == null ? Optional.empty() : warmUp;
  }

  /** Creates the declaration of a service whose backend servers need no warm-up. */
  public ServiceSpec(
      ServiceName name,
      int maxConnections,
      Optional<EngineProfile> engine,
      Optional<CapacityBounds> capacity) {
    this(name, maxConnections, engine, capacity, Optional.empty());
  }
}
