package org.endivemux.routing.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns which routes bring long prompts.
 *
 * <p>Engines read a prompt in chunks between the tokens of all that runs beside it, so long prompts
 * stretch the pauses of streams on the same engine. Confined to one thread.
 */
public final class PromptSizes {
  /** Two chunks of an engine; a shorter prompt stretches no more than one event. */
  private static final double LONG_TOKENS = 4096;

  private static final double WEIGHT = 0.05;

  private final Map<String, Double> means = new HashMap<>();

  /** Notes a prompt of a route; returns whether the route's prompts are long. */
  public boolean updateAndCheckLong(String route, int tokens) {
    double mean =
        means.merge(route, (double) tokens, (known, sample) -> known + WEIGHT * (sample - known));
    return mean > LONG_TOKENS;
  }
}
