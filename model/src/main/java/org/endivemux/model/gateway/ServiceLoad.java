package org.endivemux.model.gateway;

/**
 * Holds how many requests one entry has for a service, waiting or at a backend server.
 *
 * <p>Immutable and thread-safe.
 */
public record ServiceLoad(ServiceName service, int requests) {}
