package org.endivemux.routing.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Guesses which parts of prompts one engine keeps, from what this process has sent there.
 *
 * <p>Invariant: the least recently sent parts are forgotten first, once their tokens exceed the
 * capacity. Confined to the scheduler's thread.
 */
final class PrefixMemory {
  private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private final long capacityTokens;
  private long tokens;

  PrefixMemory(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns how many tokens of a prompt are probably read already. */
  int covered(PromptShape prompt) {
    int covered = 0;
    for (PromptPart part : prompt.parts()) {
      if (!parts.containsKey(key(prompt, part))) {
        return covered;
      }
      covered += part.tokens();
    }
    return covered;
  }

  void sent(PromptShape prompt) {
    prompt.parts().stream()
        .limit(Math.max(0, prompt.parts().size() - 1))
        .forEach(part -> remember(key(prompt, part), part.tokens()));
    var eldest = parts.entrySet().iterator();
    while (tokens > capacityTokens && eldest.hasNext()) {
      tokens -= eldest.next().getValue();
      eldest.remove();
    }
  }

  private void remember(String key, int size) {
    Integer before = parts.put(key, size);
    tokens += size - (before == null ? 0 : before);
  }

  private static String key(PromptShape prompt, PromptPart part) {
    return prompt.model() + '/' + part.id();
  }

  void clear() {
    parts.clear();
    tokens = 0;
  }
}
