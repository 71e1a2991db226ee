package org.endivemux.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Appends checksummed records to a file and reads them back. A record holds a group of changes that
 * are synced together.
 *
 * <p>Each record is a length, a checksum of the length, a checksum of the payload, and the payload.
 * Invariants: {@link #append} returns only after a sync, and leaves nothing of a failed write in
 * the file; a torn last record is truncated when the file is read; damage before it is an error.
 * Confined to one thread.
 */
final class RecordFile implements AutoCloseable {
  private static final int HEADER_BYTES = 3 * Integer.BYTES;
  private static final int MAX_ZERO_TAIL_BYTES = 1 << 20;

  private final Path path;
  private final FileChannel channel;
  private final RetryingWriter writer;

  private RecordFile(Path path, FileChannel channel, RetryingWriter writer) {
    this.path = path;
    this.channel = channel;
    this.writer = writer;
  }

  static RecordFile open(Path path, RetryingWriter writer) {
    try {
      return new RecordFile(path, writer.files().open(path), writer);
    } catch (IOException e) {
      throw new StorageException("The file " + path + " cannot be opened.", e);
    }
  }

  /** Creates an empty file; a refusal is retried or fails as the handler decides. */
  static RecordFile create(Path path, RetryingWriter writer) {
    FileOperations files = writer.files();
    writer.runWithRetries(path, () -> files.deleteIfExists(path), () -> {});
    FileChannel channel = writer.callWithRetries(path, () -> files.open(path), () -> {});
    return new RecordFile(path, channel, writer);
  }

  /** Reads all complete records, truncates a torn last one and positions the channel at the end. */
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
        writer.files().sync(channel, true);
      }
      channel.position(position);
      return records;
    } catch (IOException e) {
      throw new StorageException("The file " + path + " cannot be read.", e);
    }
  }

  /** Returns the payload at a position, or empty if the record there is a torn last one. */
  private Optional<byte[]> readRecord(long position, long size) throws IOException {
    if (size - position < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer header = read(position, HEADER_BYTES);
    int length = header.getInt();
    boolean isLengthValid = header.getInt() == checksumOf(length) && length >= 0;
    int payloadChecksum = header.getInt();
    if (!isLengthValid) {
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
    ByteBuffer rest = read(position, (int) Math.min(size - position, MAX_ZERO_TAIL_BYTES));
    while (rest.hasRemaining()) {
      if (rest.get() != 0) {
        return false;
      }
    }
    return size - position <= MAX_ZERO_TAIL_BYTES;
  }

  private ByteBuffer read(long position, int length) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(length);
    while (buffer.hasRemaining()) {
      if (channel.read(buffer, position + buffer.position()) < 0) {
        throw new EOFException("The file " + path + " ended unexpectedly.");
      }
    }
    return buffer.flip();
  }

  /** Appends one record and syncs it; a failed write is retried or fails as the handler decides. */
  void append(byte[] payload) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    buffer.putInt(payload.length);
    buffer.putInt(checksumOf(payload.length));
    buffer.putInt(checksumOf(ByteBuffer.wrap(payload)));
    buffer.put(payload);
    buffer.flip();
    try {
      writer.write(path, channel, channel.position(), buffer);
      writer.files().sync(channel, false);
    } catch (IOException e) {
      throw new StorageException("The file " + path + " cannot be synced.", e);
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
      throw new StorageException("The file " + path + " cannot be closed.", e);
    }
  }
}
