package org.endivemux.model;

/**
 * Holds the recorded response of an at-most-once call.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status of the backend server's response
 */
public record Outcome(int status, String contentType, Bytes body) {}
