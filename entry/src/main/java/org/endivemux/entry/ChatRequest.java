package org.endivemux.entry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.endivemux.model.Reason;

/** Holds the fields of a chat completion request that an entry uses. Immutable, thread-safe. */
@JsonIgnoreProperties(ignoreUnknown = true)
record ChatRequest(String model, boolean stream, List<JsonNode> messages) {
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int PREFIX_CHARACTERS = 512;

  /** Parses a request body; throws {@link RefusedException} when it is not a chat request. */
  static ChatRequest parse(byte[] body) {
    ChatRequest request = Json.read(body, ChatRequest.class);
    if (request.model() == null || request.messages() == null || request.messages().isEmpty()) {
      throw new RefusedException(
          Reason.MALFORMED_BODY, "The body needs a model and at least one message.");
    }
    return request;
  }

  /** Returns the estimated number of prompt tokens. */
  int promptTokens() {
    return messages.stream().mapToInt(message -> text(message).length()).sum()
        / CHARACTERS_PER_TOKEN;
  }

  /** Returns a hash of the start of the prompt; requests with a common prefix share it. */
  long prefix() {
    String first = text(messages.get(0));
    return first.substring(0, Math.min(first.length(), PREFIX_CHARACTERS)).hashCode();
  }

  private static String text(JsonNode message) {
    return Optional.ofNullable(message.get("content"))
        .map(content -> content.isTextual() ? content.asText() : content.toString())
        .orElse("");
  }
}
