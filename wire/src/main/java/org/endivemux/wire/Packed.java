package org.endivemux.wire;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.endivemux.model.Bytes;

/**
 * Holds a message in its encoded and compressed form, so that it is encoded once however often it
 * is stored or sent.
 *
 * <p>Encoding: number of bytes of the MessagePack encoding (4 bytes), then these bytes deflated.
 * Immutable and thread-safe.
 */
public final class Packed {
  private static final int MAX_UNPACKED_BYTES = 64 << 20;
  private static final int BUFFER_BYTES = 16 << 10;

  private final Bytes bytes;

  private Packed(Bytes bytes) {
    this.bytes = bytes;
  }

  /** Returns the packed form of a message; throws {@link WireException} if it cannot be encoded. */
  public static Packed of(Object message) {
    byte[] encoded = MessagePackCodec.encode(message);
    if (encoded.length > MAX_UNPACKED_BYTES) {
      throw new WireException("The message is longer than " + MAX_UNPACKED_BYTES + " bytes.");
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream(BUFFER_BYTES);
    out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(encoded.length).array());
    deflate(encoded, out);
    return new Packed(Bytes.of(out.toByteArray()));
  }

  @JsonCreator
  static Packed ofBytes(Bytes bytes) {
    return new Packed(bytes);
  }

  private static void deflate(byte[] encoded, ByteArrayOutputStream out) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(encoded);
      deflater.finish();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
    } finally {
      deflater.end();
    }
  }

  /** Returns the message; throws {@link WireException} if the content is not of this type. */
  public <T> T unpack(Class<T> type) {
    return MessagePackCodec.decode(inflate(bytes.toArray()), type);
  }

  private static byte[] inflate(byte[] packed) {
    if (packed.length < Integer.BYTES) {
      throw new WireException("The packed message is shorter than its header.");
    }
    int length = ByteBuffer.wrap(packed).getInt();
    if (length < 0 || length > MAX_UNPACKED_BYTES) {
      throw new WireException("The packed message states an invalid length: " + length + ".");
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(packed, Integer.BYTES, packed.length - Integer.BYTES);
      byte[] encoded = new byte[length];
      if (inflater.inflate(encoded) != length) {
        throw new WireException("The packed message is shorter than it states.");
      }
      return encoded;
    } catch (DataFormatException e) {
      throw new WireException("The packed message cannot be inflated.", e);
    } finally {
      inflater.end();
    }
  }

  /** Returns the encoded form. */
  @JsonValue
  public Bytes bytes() {
    return bytes;
  }

  /** Returns the number of bytes of the encoded form. */
  public int size() {
    return bytes.size();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Packed that && bytes.equals(that.bytes);
  }

  @Override
  public int hashCode() {
    return bytes.hashCode();
  }

  @Override
  public String toString() {
    return bytes.size() + " packed bytes";
  }
}
