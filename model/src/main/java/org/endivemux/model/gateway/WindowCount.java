package org.endivemux.model.gateway;

import org.endivemux.model.OrganisationId;

/**
 * Holds how many requests of an organisation began to run in a usage window, as one entry saw it.
 *
 * <p>Immutable and thread-safe.
 */
public record WindowCount(long window, OrganisationId organisation, long requests) {}
