package org.endivemux.wire;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counts the bytes sent and received on links between VMs, framing included. Thread-safe. */
public record LinkMetrics(Counter bytesIn, Counter bytesOut) {
  /** Returns the counters {@code peer.bytesIn} and {@code peer.bytesOut} of a registry. */
  public static LinkMetrics of(MetricRegistry registry) {
    return new LinkMetrics(registry.counter("peer.bytesIn"), registry.counter("peer.bytesOut"));
  }
}
