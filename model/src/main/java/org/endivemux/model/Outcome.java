package org.endivemux.model;

/**
 * Holds the whole answer of a call that may run at most once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status of the backend server
 */
public record Outcome(int status, String contentType, Bytes body) {}
