package org.endivemux.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.endivemux.model.Reason;

/** Reads and writes the JSON bodies of callers and operators. Stateless and thread-safe. */
final class Json {
  private static final int MAX_DEPTH = 100;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  static {
    MAPPER
        .getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
  }

  private Json() {}

  static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("A response body could not be written as JSON.", e);
    }
  }

  /** Parses a body; throws {@link RefusedException} when it is not of the type. */
  static <T> T read(byte[] body, Class<T> type) {
    try {
      T value = MAPPER.readValue(body, type);
      if (value == null) {
        throw new RefusedException(Reason.MALFORMED_BODY);
      }
      return value;
    } catch (IOException e) {
      throw new RefusedException(Reason.MALFORMED_BODY, firstLine(e));
    }
  }

  private static String firstLine(IOException error) {
    String text = error instanceof JsonProcessingException json ? json.getOriginalMessage() : "";
    return "The body can not be read as JSON: " + text.lines().findFirst().orElse("");
  }
}
