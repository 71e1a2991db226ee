package org.endivemux.wire;

import java.time.Duration;

/**
 * Holds the intervals and timeouts of a link. Immutable and thread-safe.
 *
 * @param heartbeatInterval time between heartbeats
 * @param idleTimeout maximum time without any frame, after which the link is dropped
 * @param connectTimeout maximum time to open a connection
 * @param reconnectDelay pause before the link is opened again
 */
public record LinkTiming(
    Duration heartbeatInterval,
    Duration idleTimeout,
    Duration connectTimeout,
    Duration reconnectDelay) {
  /** Returns the timing for links with a latency of a few milliseconds. */
  public static LinkTiming standard() {
    return new LinkTiming(
        Duration.ofMillis(250),
        Duration.ofMillis(1000),
        Duration.ofMillis(500),
        Duration.ofMillis(100));
  }

  /** Returns the timing for links that carry only hints, such as load digests. */
  public static LinkTiming relaxed() {
    return new LinkTiming(
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofMillis(500),
        Duration.ofMillis(500));
  }
}
