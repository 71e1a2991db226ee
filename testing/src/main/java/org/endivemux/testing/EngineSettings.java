package org.endivemux.testing;

/**
 * Holds the settings of an engine stand-in. Immutable and thread-safe.
 *
 * @param slots requests that it processes concurrently
 * @param tokenMicros time to generate a token when idle; twice that when all slots are used
 * @param promptTokenMicros time to prefill one token that is not cached
 * @param cachedPrefixes number of prompt prefixes that fit into its cache
 * @param reportLagMillis delay of its load report
 * @param checksFencing whether it refuses orders with an outdated fencing number
 */
public record EngineSettings(
    int slots,
    int tokenMicros,
    int promptTokenMicros,
    int cachedPrefixes,
    int reportLagMillis,
    boolean checksFencing) {
  /** Returns settings of an engine that is fast enough for tests. */
  public static EngineSettings quick() {
    return new EngineSettings(16, 2000, 20, 64, 500, true);
  }
}
