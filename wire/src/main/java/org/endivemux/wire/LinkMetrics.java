package org.endivemux.wire;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counts what goes over links between VMs, in bytes with framing. Thread-safe. */
public record LinkMetrics(Counter bytesIn, Counter bytesOut) {
  /** Returns counters {@code peer.bytesIn} and {@code peer.bytesOut} of a registry. */
  public static LinkMetrics of(MetricRegistry registry) {
    return new LinkMetrics(registry.counter("peer.bytesIn"), registry.counter("peer.bytesOut"));
  }
}
