package org.endivemux.wire;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Turns typed messages into MessagePack and back. Immutable and thread-safe. */
public final class MessagePackCodec {
  private static final ObjectMapper MAPPER =
      new MessagePackMapper()
          .registerModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private MessagePackCodec() {}

  /** Returns the message as bytes; throws {@link WireException} when it can not be written. */
  public static byte[] encode(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (IOException e) {
      throw new WireException("The message can not be encoded.", e);
    }
  }

  /** Returns the message of bytes; throws {@link WireException} when they are not of this type. */
  public static <T> T decode(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw new WireException("The bytes are no " + type.getSimpleName() + ".", e);
    }
  }
}
