package org.endivemux.model.gateway;

/**
 * Holds how slowly the backend servers of a service work after a start, until they are warm.
 * Immutable and thread-safe.
 *
 * @param startMillis how long a server stays cold after a start
 * @param requestsPerSecond requests that a cold server handles in a second
 */
public record WarmUp(long startMillis, double requestsPerSecond) {}
