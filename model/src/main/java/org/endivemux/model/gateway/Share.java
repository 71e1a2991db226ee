package org.endivemux.model.gateway;

/** Holds the share of a route's requests that one service gets. Immutable and thread-safe. */
public record Share(ServiceName service, double weight) {}
