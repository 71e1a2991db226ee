package org.endivemux.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Appends checked records to a file, one for each group of changes that is synced together, and
 * reads them back.
 *
 * <p>Each record is a length, a checksum of the length, a checksum of the payload, and the payload.
 * Invariants: {@link #append} returns only after a sync, and leaves nothing of a refused write; a
 * torn last record is cut when the file is read; damage before it is an error. Confined to one
 * thread.
 */
final class RecordFile implements AutoCloseable {
  private static final int HEADER_BYTES = 3 * Integer.BYTES;

  private final Path path;
  private final FileChannel channel;
  private final Writes writes;

  private RecordFile(Path path, FileChannel channel, Writes writes) {
    this.path = path;
    this.channel = channel;
    this.writes = writes;
  }

  static RecordFile open(Path path, Writes writes) {
    try {
      FileChannel channel =
          FileChannel.open(
              path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
      return new RecordFile(path, channel, writes);
    } catch (IOException e) {
      throw new StorageException("The file " + path + " can not be opened.", e);
    }
  }

  /** Reads every whole record, cuts a torn last one and leaves the position behind the last. */
  List<byte[]> readAll() {
    try {
      List<byte[]> records = new ArrayList<>();
      long position = 0;
      long size = channel.size();
      while (position < size) {
        Optional<byte[]> payload = readRecord(position, size);
        if (payload.isEmpty()) {
          break;
        }
        records.add(payload.get());
        position += HEADER_BYTES + payload.get().length;
      }
      if (position < size) {
        channel.truncate(position);
        channel.force(true);
      }
      channel.position(position);
      return records;
    } catch (IOException e) {
      throw new StorageException("The file " + path + " can not be read.", e);
    }
  }

  /** Returns the payload at a position, or empty when the record there is the torn last one. */
  private Optional<byte[]> readRecord(long position, long size) throws IOException {
    if (size - position < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer header = read(position, HEADER_BYTES);
    int length = header.getInt();
    boolean lengthSound = header.getInt() == checksumOf(length) && length >= 0;
    int payloadChecksum = header.getInt();
    if (!lengthSound) {
      if (isZeroFrom(position, size)) {
        return Optional.empty();
      }
      throw damaged(position);
    }
    long end = position + HEADER_BYTES + length;
    if (end > size) {
      return Optional.empty();
    }
    byte[] payload = new byte[length];
    read(position + HEADER_BYTES, length).get(payload);
    if (checksumOf(ByteBuffer.wrap(payload)) == payloadChecksum) {
      return Optional.of(payload);
    }
    if (end == size || isZeroFrom(end, size)) {
      return Optional.empty();
    }
    throw damaged(position);
  }

  private StorageException damaged(long position) {
    return new StorageException(
        "The file "
            + path
            + " is damaged at byte "
            + position
            + "; treat the disk as lost: move the data folder away and start with an empty one.");
  }

  private boolean isZeroFrom(long position, long size) throws IOException {
    ByteBuffer rest = read(position, (int) Math.min(size - position, 1 << 20));
    while (rest.hasRemaining()) {
      if (rest.get() != 0) {
        return false;
      }
    }
    return size - position <= 1 << 20;
  }

  private ByteBuffer read(long position, int length) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(length);
    while (buffer.hasRemaining()) {
      if (channel.read(buffer, position + buffer.position()) < 0) {
        throw new EOFException(path + " ended early.");
      }
    }
    return buffer.flip();
  }

  /** Appends one record and syncs it; waits while the disk refuses the write. */
  void append(byte[] payload) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    buffer.putInt(payload.length);
    buffer.putInt(checksumOf(payload.length));
    buffer.putInt(checksumOf(ByteBuffer.wrap(payload)));
    buffer.put(payload);
    buffer.flip();
    try {
      writes.write(path, channel, channel.position(), buffer);
      channel.force(false);
    } catch (IOException e) {
      throw new StorageException("The file " + path + " can not be synced.", e);
    }
  }

  private static int checksumOf(int value) {
    return checksumOf(ByteBuffer.allocate(Integer.BYTES).putInt(value).flip());
  }

  private static int checksumOf(ByteBuffer bytes) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes);
    return (int) checksum.getValue();
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      throw new StorageException("The file " + path + " can not be closed.", e);
    }
  }
}
