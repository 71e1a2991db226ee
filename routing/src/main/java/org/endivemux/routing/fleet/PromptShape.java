package org.endivemux.routing.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivemux.model.PromptPartId;

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
  private static final int MAX_REPORTED_ID_LENGTH = 64;

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

  /**
   * Returns the ids of the parts that other requests may share, but for overlong ones, which no
   * sound caller sends.
   */
  public Set<PromptPartId> sharedPartIds() {
    return parts.stream()
        .limit(Math.max(0, parts.size() - 1))
        .map(PromptPart::id)
        .filter(id -> id.length() <= MAX_REPORTED_ID_LENGTH)
        .map(PromptPartId::new)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the last part that other requests may share; the final part is never shared. */
  public Optional<PromptPart> sessionPart() {
    return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
  }
}
