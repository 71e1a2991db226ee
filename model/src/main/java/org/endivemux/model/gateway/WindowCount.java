package org.endivemux.model.gateway;

import org.endivemux.model.OrganisationId;

/**
 * Holds how many requests of an organisation started in a usage window, as counted by one entry.
 *
 * <p>Immutable and thread-safe.
 */
public record WindowCount(long window, OrganisationId organisation, long requests) {}
