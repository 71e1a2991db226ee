package org.endivemux.wire;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Encodes and decodes typed messages as MessagePack. Immutable and thread-safe. */
public final class MessagePackCodec {
  private static final ObjectMapper MAPPER =
      new MessagePackMapper()
          .registerModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private MessagePackCodec() {}

  /** Encodes a message; throws {@link WireException} if it cannot be encoded. */
  public static byte[] encode(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (IOException e) {
      throw new WireException("The message can not be encoded.", e);
    }
  }

  /** Decodes a message; throws {@link WireException} if the bytes are not of this type. */
  public static <T> T decode(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw new WireException("The bytes are no " + type.getSimpleName() + ".", e);
    }
  }
}
