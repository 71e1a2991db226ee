package org.endivemux.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Performs the operations on files that a disk may refuse; the default methods use the real disk.
 *
 * <p>Implementations are called by the thread that uses the data folder.
 */
public interface FileOperations {
  /** Opens a file to read and write it, and creates it if it does not exist. */
  default FileChannel open(Path file) throws IOException {
    return FileChannel.open(
        file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
  }

  /** Writes bytes at a channel's position; may write only some of them. */
  default void write(FileChannel channel, ByteBuffer bytes) throws IOException {
    channel.write(bytes);
  }

  /**
   * Syncs a file or folder.
   *
   * @param metadata whether to sync also what is not needed to read the content
   */
  default void sync(FileChannel channel, boolean metadata) throws IOException {
    channel.force(metadata);
  }

  /** Renames a file to another one in the same folder, which it replaces. */
  default void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
  }

  default void deleteIfExists(Path file) throws IOException {
    Files.deleteIfExists(file);
  }

  /** Returns the operations of the real disk. */
  static FileOperations system() {
    return new FileOperations() {};
  }
}
