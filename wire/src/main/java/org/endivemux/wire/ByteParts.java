package org.endivemux.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the parts of one body until it is whole.
 *
 * <p>Invariant: takes no more memory than the parts do until they are joined. Not thread-safe.
 */
public final class ByteParts {
  private final List<byte[]> parts = new ArrayList<>();
  private int bytes;

  /** Adds a part, which must not be changed afterwards. */
  public void add(byte[] part) {
    bytes = Math.addExact(bytes, part.length);
    parts.add(part);
  }

  /** Returns the number of bytes of all parts. */
  public int size() {
    return bytes;
  }

  /** Removes all parts. */
  public void clear() {
    parts.clear();
    bytes = 0;
  }

  /** Returns the whole body and removes its parts. */
  public byte[] join() {
    byte[] whole = parts.size() == 1 ? parts.get(0) : joined();
    clear();
    return whole;
  }

  private byte[] joined() {
    ByteBuffer whole = ByteBuffer.allocate(bytes);
    parts.forEach(whole::put);
    return whole.array();
  }
}
