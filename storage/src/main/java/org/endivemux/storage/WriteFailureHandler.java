package org.endivemux.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Handles a write that the disk rejects, for example because it is full, before it is retried.
 * Creating, renaming and deleting a file count as writes.
 *
 * <p>Only writes are retried, never a sync: after a failed sync it is unknown what is on the disk.
 * Implementations are called by the writing thread.
 */
public interface WriteFailureHandler {
  /**
   * Returns when the write should be retried; throws {@link StorageException} to stop retrying.
   *
   * @param failedAttempts number of failed attempts of this write so far, at least one
   */
  void onWriteFailed(Path file, int failedAttempts, IOException cause);

  /** Called when a write succeeds after failed attempts. */
  default void onWriteRecovered(Path file, int failedAttempts) {}

  /** Returns a handler that fails on the first failed write. */
  static WriteFailureHandler failFast() {
    return (file, failedAttempts, cause) -> {
      throw new StorageException("The file " + file + " cannot be written.", cause);
    };
  }
}
