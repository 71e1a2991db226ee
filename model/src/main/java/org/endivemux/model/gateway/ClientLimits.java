package org.endivemux.model.gateway;

/** Holds what a caller may send and how long it may take. Immutable and thread-safe. */
public record ClientLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
  /** Returns the limits before any are declared. */
  public static ClientLimits defaults() {
    return new ClientLimits(16 << 10, 4 << 20, 3000, 15_000);
  }
}
