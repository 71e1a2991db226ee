package org.endivemux.wire;

import java.time.Duration;

/**
 * Holds the time limits of a link. Immutable and thread-safe.
 *
 * @param ping time between heartbeats
 * @param silence longest time without any frame before the link is dropped
 * @param connect longest time for a connection to open
 * @param redial pause before the link is dialled anew
 */
public record LinkTiming(Duration ping, Duration silence, Duration connect, Duration redial) {
  /** Returns the limits for links of a few milliseconds. */
  public static LinkTiming standard() {
    return new LinkTiming(
        Duration.ofMillis(250),
        Duration.ofMillis(1000),
        Duration.ofMillis(500),
        Duration.ofMillis(100));
  }

  /** Returns the limits for links that carry only hints, such as digests of load. */
  public static LinkTiming relaxed() {
    return new LinkTiming(
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofMillis(500),
        Duration.ofMillis(500));
  }
}
