package org.endivemux.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * Writes to files and retries failed writes until they succeed or the handler throws.
 *
 * <p>Invariant: a failed write is undone before it is retried, so a file never contains a partial
 * write followed by other data. Immutable; as thread-safe as its components.
 */
record RetryingWriter(ChannelWrite channelWrite, WriteFailureHandler failureHandler) {
  /** Writes bytes at a channel's position; may write only some of them. */
  @FunctionalInterface
  interface ChannelWrite {
    void write(FileChannel channel, ByteBuffer bytes) throws IOException;
  }

  /** Runs a file operation. */
  @FunctionalInterface
  interface IoAction {
    void run() throws IOException;
  }

  /** Writes all bytes at a position and leaves the channel positioned after them. */
  void write(Path file, FileChannel channel, long position, ByteBuffer bytes) {
    runWithRetries(
        file,
        () -> {
          while (bytes.hasRemaining()) {
            channelWrite.write(channel, bytes);
          }
        },
        () -> {
          channel.truncate(position);
          channel.position(position);
          bytes.rewind();
        });
  }

  /** Runs an action until it succeeds; an undo that fails is not retried. */
  void runWithRetries(Path file, IoAction action, IoAction undo) {
    int failedAttempts = 0;
    while (!attempt(file, action, undo, failedAttempts + 1)) {
      failedAttempts++;
    }
    if (failedAttempts > 0) {
      failureHandler.onWriteRecovered(file, failedAttempts);
    }
  }

  private boolean attempt(Path file, IoAction action, IoAction undo, int attempt) {
    try {
      action.run();
      return true;
    } catch (IOException e) {
      undo(file, undo);
      failureHandler.onWriteFailed(file, attempt, e);
      return false;
    }
  }

  private static void undo(Path file, IoAction undo) {
    try {
      undo.run();
    } catch (IOException e) {
      throw new StorageException("A failed write to " + file + " cannot be undone.", e);
    }
  }
}
