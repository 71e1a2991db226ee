package org.endivemux.entry;

import java.time.Duration;

/**
 * Holds the size limits and timeouts of an entry. Immutable and thread-safe.
 *
 * @param bodyBytes maximum size of a request's body
 * @param headerBytes maximum size of a request's URI and headers together
 * @param outcomeBytes maximum size of a response body that is recorded for an at-most-once call
 * @param connect timeout for opening a connection to a backend server
 * @param firstByte timeout from sending a request to the first byte of its response
 * @param betweenBytes maximum pause between two parts of a response body
 * @param keepAlive interval of keep-alive comments on a stream to a caller
 * @param control timeout for a reply of the control group
 * @param entriesLifetime how long callers may cache the list of entries
 * @param drain maximum time to wait for requests in flight at shutdown
 */
public record Limits(
    int bodyBytes,
    int headerBytes,
    int outcomeBytes,
    Duration connect,
    Duration firstByte,
    Duration betweenBytes,
    Duration keepAlive,
    Duration control,
    Duration entriesLifetime,
    Duration drain) {
  /** Returns the default limits. */
  public static Limits standard() {
    return new Limits(
        1 << 20,
        16 << 10,
        1 << 20,
        Duration.ofMillis(500),
        Duration.ofSeconds(20),
        Duration.ofSeconds(10),
        Duration.ofSeconds(5),
        Duration.ofSeconds(3),
        Duration.ofSeconds(10),
        Duration.ofMinutes(10));
  }
}
