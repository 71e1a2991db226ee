package org.endivemux.routing;

import org.endivemux.model.Declaration.BackendServer;

/** Holds the choice of a backend server for a job. Immutable and thread-safe. */
public record Assignment(Job job, BackendServer server) {}
