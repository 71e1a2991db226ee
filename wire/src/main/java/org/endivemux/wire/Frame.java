package org.endivemux.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Arrays;

/**
 * Holds one frame of a link: a type, a correlation number and a payload.
 *
 * <p>On the wire: a length of four bytes, a type of one, a correlation of eight, the payload. The
 * payload belongs to the receiver. Thread-safe while nobody writes to the payload.
 */
@SuppressWarnings("ArrayRecordComponent") // Copied nowhere on the path between two VMs.
record Frame(Type type, long correlation, byte[] payload) {
  static final int MAX_BYTES = 64 << 20;
  static final int LENGTH_BYTES = 4;
  private static final int HEADER_BYTES = 1 + Long.BYTES;
  private static final byte[] NOTHING = new byte[0];

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
          .orElseThrow(() -> new WireException("The frame type " + code + " is unknown."));
    }
  }

  static Frame of(Type type) {
    return new Frame(type, 0, NOTHING);
  }

  /** Returns the bytes that the frame takes on the wire. */
  int bytes() {
    return LENGTH_BYTES + HEADER_BYTES + payload.length;
  }

  ByteBuf toBuffer(ByteBufAllocator allocator) {
    ByteBuf buffer = allocator.buffer(bytes());
    buffer.writeInt(HEADER_BYTES + payload.length);
    buffer.writeByte(type.code);
    buffer.writeLong(correlation);
    buffer.writeBytes(payload);
    return buffer;
  }

  static Frame read(ByteBuf buffer) {
    if (buffer.readableBytes() < HEADER_BYTES) {
      throw new WireException("A frame is shorter than its header.");
    }
    Type type = Type.of(buffer.readByte());
    long correlation = buffer.readLong();
    byte[] payload = new byte[buffer.readableBytes()];
    buffer.readBytes(payload);
    return new Frame(type, correlation, payload);
  }
}
