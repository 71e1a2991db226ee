package org.endivemux.testing;

/**
 * Holds how an engine stand-in behaves. Immutable and thread-safe.
 *
 * @param slots requests that it works on at once
 * @param tokenMicros time for a token when idle; full slots double it
 * @param promptTokenMicros time to prefill one token that is not cached
 * @param cachedPrefixes prefixes that fit into its cache
 * @param reportLagMillis how old its load report is
 * @param checksFencing whether it refuses orders under an old fencing number
 */
public record EngineSettings(
    int slots,
    int tokenMicros,
    int promptTokenMicros,
    int cachedPrefixes,
    int reportLagMillis,
    boolean checksFencing) {
  /** Returns an engine that is fast enough for tests. */
  public static EngineSettings quick() {
    return new EngineSettings(16, 2000, 20, 64, 500, true);
  }
}
