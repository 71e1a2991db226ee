package org.endivemux.entry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/** Reads the usage that a backend server states in a whole answer. Immutable and thread-safe. */
@JsonIgnoreProperties(ignoreUnknown = true)
record CompletionUsage(Stated usage) {
  @JsonIgnoreProperties(ignoreUnknown = true)
  record Stated(@JsonProperty("completion_tokens") int completionTokens) {}

  /** Returns the stated tokens, or 0 when the answer states none. */
  static int tokensOf(byte[] body) {
    try {
      return Optional.ofNullable(Json.read(body, CompletionUsage.class).usage())
          .map(Stated::completionTokens)
          .orElse(0);
    } catch (RefusedException e) {
      return 0;
    }
  }
}
