package org.endivemux.routing;

import org.endivemux.model.Declaration.BackendServer;

/** Holds a job and the backend server selected for it. Immutable and thread-safe. */
public record Assignment(Job job, BackendServer server) {}
