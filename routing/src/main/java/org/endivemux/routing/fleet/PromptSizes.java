package org.endivemux.routing.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns which routes have long prompts, from a moving average of their lengths.
 *
 * <p>Engines prefill a prompt in chunks between the decoding steps of the other requests in the
 * batch, so long prompts lengthen the gaps between events of streams on the same engine. Confined
 * to one thread.
 */
public final class PromptSizes {
  /** Two prefill chunks of an engine; a shorter prompt delays at most one event of a stream. */
  private static final double LONG_TOKENS = 4096;

  private static final double SAMPLE_WEIGHT = 0.05;

  private final Map<String, Double> means = new HashMap<>();

  /** Adds a prompt to its route's mean; returns whether the route's prompts are long. */
  public boolean updateAndCheckLong(String route, int tokens) {
    double mean =
        means.merge(
            route, (double) tokens, (known, sample) -> known + SAMPLE_WEIGHT * (sample - known));
    return mean > LONG_TOKENS;
  }
}
