package org.endivemux.routing.fleet;

import java.util.List;
import java.util.Optional;

/**
 * Describes a prompt by its parts, in order.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model model that processes the prompt; parts are shared only within one model
 * @param tokens length of the whole prompt
 * @param maxAnswerTokens maximum number of tokens in the answer
 */
public record PromptShape(String model, int tokens, int maxAnswerTokens, List<PromptPart> parts) {
  public PromptShape {
    parts = List.copyOf(parts);
  }

  /** Returns the shape of a request to a service without a model. */
  public static PromptShape none() {
    return new PromptShape("", 0, 0, List.of());
  }

  /** Returns the tokens of the parts that other requests may share. */
  public int sharedTokens() {
    return parts.stream().limit(Math.max(0, parts.size() - 1)).mapToInt(PromptPart::tokens).sum();
  }

  /** Returns the last part that other requests may share; the final part is never shared. */
  public Optional<PromptPart> sessionPart() {
    return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
  }
}
