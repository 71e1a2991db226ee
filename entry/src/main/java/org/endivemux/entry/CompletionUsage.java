package org.endivemux.entry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/** Reads the usage that a backend server reports in a response. Immutable and thread-safe. */
@JsonIgnoreProperties(ignoreUnknown = true)
record CompletionUsage(Usage usage) {
  @JsonIgnoreProperties(ignoreUnknown = true)
  record Usage(@JsonProperty("completion_tokens") int completionTokens) {}

  /** Returns the reported completion tokens, or 0 when the response reports none. */
  static int tokensOf(byte[] body) {
    try {
      return Optional.ofNullable(Json.read(body, CompletionUsage.class).usage())
          .map(Usage::completionTokens)
          .orElse(0);
    } catch (RefusedException e) {
      return 0;
    }
  }
}
