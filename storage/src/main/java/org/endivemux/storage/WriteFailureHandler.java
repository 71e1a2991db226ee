package org.endivemux.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Is told when a disk refuses a write, as a full one does, before the write is tried again.
 *
 * <p>Only writes are tried again, never a sync: what a failed sync has kept is unknown.
 * Implementations are called by the thread that writes.
 */
public interface WriteFailureHandler {
  /**
   * Returns when the write is to be tried again; throws {@link StorageException} to give up.
   *
   * @param tries how often the write was refused by now, at least once
   */
  void onWriteFailed(Path file, int tries, IOException cause);

  /** Notes that a write was taken after it had been refused. */
  default void onWriteRecovered(Path file, int tries) {}

  /** Gives up at the first refusal. */
  static WriteFailureHandler failFast() {
    return (file, tries, cause) -> {
      throw new StorageException("The file " + file + " can not be written.", cause);
    };
  }
}
