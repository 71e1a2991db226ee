package org.endivemux.storage;

/**
 * Signals a data folder that can not be used any more. Immutable.
 *
 * <p>A process that meets it ends: a failed sync is never retried.
 */
public final class StorageException extends RuntimeException {
  public StorageException(String message) {
    super(message);
  }

  public StorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
