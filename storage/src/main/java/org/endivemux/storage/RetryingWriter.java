package org.endivemux.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Writes, creates, renames and deletes files, and retries what fails until it succeeds or the
 * handler throws.
 *
 * <p>Invariant: a failed write is undone before it is retried, so a file never contains a partial
 * write followed by other data. A sync is never retried. Immutable; as thread-safe as its
 * components.
 */
record RetryingWriter(FileOperations files, WriteFailureHandler failureHandler) {
  /** Runs a file operation. */
  @FunctionalInterface
  interface IoAction {
    void run() throws IOException;
  }

  /** Runs a file operation that has a result. */
  @FunctionalInterface
  interface IoCall<T> {
    T call() throws IOException;
  }

  /** Writes all bytes at a position and leaves the channel positioned after them. */
  void write(Path file, FileChannel channel, long position, ByteBuffer bytes) {
    runWithRetries(
        file,
        () -> {
          while (bytes.hasRemaining()) {
            files.write(channel, bytes);
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
    var unused =
        callWithRetries(
            file,
            () -> {
              action.run();
              return true;
            },
            undo);
  }

  /** Calls until it succeeds, and returns the result; an undo that fails is not retried. */
  <T> T callWithRetries(Path file, IoCall<T> call, IoAction undo) {
    int failedAttempts = 0;
    Optional<T> result = attempt(file, call, undo, 1);
    while (result.isEmpty()) {
      failedAttempts++;
      result = attempt(file, call, undo, failedAttempts + 1);
    }
    if (failedAttempts > 0) {
      failureHandler.onWriteRecovered(file, failedAttempts);
    }
    return result.get();
  }

  private <T> Optional<T> attempt(Path file, IoCall<T> call, IoAction undo, int attempt) {
    try {
      return Optional.of(call.call());
    } catch (IOException e) {
      undo(file, undo);
      failureHandler.onWriteFailed(file, attempt, e);
      return Optional.empty();
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
