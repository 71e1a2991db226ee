package org.endivemux.entry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.endivemux.model.Reason;

/** Holds what an entry reads of a chat completion request. Immutable and thread-safe. */
@JsonIgnoreProperties(ignoreUnknown = true)
record ChatRequest(String model, boolean stream, List<JsonNode> messages) {
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int PREFIX_CHARACTERS = 512;

  /** Returns the request of a body; throws {@link RefusedException} when it is none. */
  static ChatRequest parse(byte[] body) {
    ChatRequest request = Json.read(body, ChatRequest.class);
    if (request.model() == null || request.messages() == null || request.messages().isEmpty()) {
      throw new RefusedException(
          Reason.MALFORMED_BODY, "The body needs a model and at least one message.");
    }
    return request;
  }

  int promptTokens() {
    return messages.stream().mapToInt(message -> text(message).length()).sum()
        / CHARACTERS_PER_TOKEN;
  }

  /** Returns a digest of the start of the prompt, which other requests may share. */
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
