package org.endivemux.entry;

import java.time.Duration;

/**
 * Holds the limits of an entry. Immutable and thread-safe.
 *
 * @param bodyBytes longest body of a request
 * @param headerBytes longest headers of a request
 * @param outcomeBytes longest answer that is recorded for a call that runs at most once
 * @param connect longest time for a connection to a backend server to open
 * @param firstByte longest time from sending to the first byte of an answer
 * @param betweenBytes longest silence within an answer
 * @param keepAlive time between comments on a silent stream to a caller
 * @param control longest time for the control group to answer
 * @param entriesLifetime how long callers may use an answer about entries
 * @param drain longest time for requests in flight at shutdown
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
  /** Returns limits for ordinary use. */
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
