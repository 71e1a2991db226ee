package org.endivemux.routing.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt parts one engine has in its prefix cache, from what this process has
 * recordSent to it.
 *
 * <p>Invariant: once the tokens of all parts exceed the capacity, the least recently used parts are
 * evicted first. Confined to the scheduler's thread.
 */
final class PrefixCacheEstimate {
  private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private final long capacityTokens;
  private long tokens;

  PrefixCacheEstimate(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns how many leading tokens of a prompt are probably cached. */
  int cachedTokens(PromptShape prompt) {
    int cached = 0;
    for (PromptPart part : prompt.parts()) {
      if (!parts.containsKey(key(prompt, part))) {
        return cached;
      }
      cached += part.tokens();
    }
    return cached;
  }

  void recordSent(PromptShape prompt) {
    prompt.parts().stream()
        .limit(Math.max(0, prompt.parts().size() - 1))
        .forEach(part -> put(key(prompt, part), part.tokens()));
    var eldest = parts.entrySet().iterator();
    while (tokens > capacityTokens && eldest.hasNext()) {
      tokens -= eldest.next().getValue();
      eldest.remove();
    }
  }

  private void put(String key, int size) {
    Integer previous = parts.put(key, size);
    tokens += size - (previous == null ? 0 : previous);
  }

  private static String key(PromptShape prompt, PromptPart part) {
    return prompt.model() + '/' + part.id();
  }

  void clear() {
    parts.clear();
    tokens = 0;
  }
}
