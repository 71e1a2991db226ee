package org.endivemux.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Arrays;

/**
 * Holds one frame of a link between VMs: a type, a correlation id and a payload.
 *
 * <p>Encoding: length (4 bytes), type (1 byte), correlation id (8 bytes), payload. The length
 * doesn't count itself. The receiver owns the payload. Thread-safe as long as nobody modifies the
 * payload.
 */
@SuppressWarnings("ArrayRecordComponent") // Not copied on the path between two VMs.
record Frame(Type type, long correlation, byte[] payload) {
  static final int MAX_BYTES = 64 << 20;
  static final int LENGTH_BYTES = 4;
  private static final int HEADER_BYTES = 1 + Long.BYTES;
  private static final byte[] EMPTY = new byte[0];

  enum Type {
    HELLO(0),
    PING(1),
    PONG(2),
    MESSAGE(3),
    REQUEST(4),
    RESPONSE(5),
    FAILURE(6);

    private final int code;

    Type(int code) {
      this.code = code;
    }

    private static Type of(int code) {
      return Arrays.stream(values())
          .filter(type -> type.code == code)
          .findFirst()
          .orElseThrow(() -> new WireException("Unknown frame type " + code + "."));
    }
  }

  static Frame of(Type type) {
    return new Frame(type, 0, EMPTY);
  }

  /** Returns the size of the encoded frame. */
  int encodedBytes() {
    return LENGTH_BYTES + HEADER_BYTES + payload.length;
  }

  ByteBuf toBuffer(ByteBufAllocator allocator) {
    ByteBuf buffer = allocator.buffer(encodedBytes());
    buffer.writeInt(HEADER_BYTES + payload.length);
    buffer.writeByte(type.code);
    buffer.writeLong(correlation);
    buffer.writeBytes(payload);
    return buffer;
  }

  static Frame read(ByteBuf buffer) {
    if (buffer.readableBytes() < HEADER_BYTES) {
      throw new WireException("The frame is shorter than its header.");
    }
    Type type = Type.of(buffer.readByte());
    long correlation = buffer.readLong();
    byte[] payload = new byte[buffer.readableBytes()];
    buffer.readBytes(payload);
    return new Frame(type, correlation, payload);
  }
}
