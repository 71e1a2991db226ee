package org.endivemux.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the parts of one body until it is whole.
 *
 * <p>Invariant: takes little more memory than the bytes of the body until it is joined, however
 * small the parts are. Not thread-safe.
 */
public final class ByteParts {
  /** Smaller parts are copied together, since each array takes some bytes of its own. */
  private static final int MIN_ARRAY_BYTES = 1024;

  private final List<byte[]> arrays = new ArrayList<>();
  private ByteArrayOutputStream small = new ByteArrayOutputStream();
  private int bytes;

  /** Adds a part, which must not be changed afterwards. */
  public void add(byte[] part) {
    bytes = Math.addExact(bytes, part.length);
    if (part.length < MIN_ARRAY_BYTES) {
      small.writeBytes(part);
    }
    if (small.size() >= MIN_ARRAY_BYTES || part.length >= MIN_ARRAY_BYTES) {
      keepSmall();
    }
    if (part.length >= MIN_ARRAY_BYTES) {
      arrays.add(part);
    }
  }

  private void keepSmall() {
    if (small.size() > 0) {
      arrays.add(small.toByteArray());
      small = new ByteArrayOutputStream();
    }
  }

  /** Returns the number of arrays that hold the parts. */
  int arrays() {
    return arrays.size();
  }

  /** Returns the number of bytes of all parts. */
  public int size() {
    return bytes;
  }

  /** Removes all parts. */
  public void clear() {
    arrays.clear();
    small.reset();
    bytes = 0;
  }

  /** Returns the whole body and removes its parts. */
  public byte[] join() {
    keepSmall();
    byte[] whole = arrays.size() == 1 ? arrays.get(0) : joined();
    clear();
    return whole;
  }

  private byte[] joined() {
    ByteBuffer whole = ByteBuffer.allocate(bytes);
    arrays.forEach(whole::put);
    return whole.array();
  }
}
