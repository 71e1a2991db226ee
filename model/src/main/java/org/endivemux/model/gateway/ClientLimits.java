package org.endivemux.model.gateway;

/** Holds the size limits and timeouts of callers' requests. Immutable and thread-safe. */
public record ClientLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
  /** Returns the limits that apply until others are declared. */
  public static ClientLimits defaults() {
    return new ClientLimits(16 << 10, 4 << 20, 3000, 15_000);
  }
}
