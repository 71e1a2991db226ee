package org.endivemux.model.gateway;

/**
 * Holds how many requests one entry has for a service, waiting or in flight.
 *
 * <p>Immutable and thread-safe.
 */
public record ServiceLoad(ServiceName service, int requests) {}
