package org.endivemux.storage;

/**
 * Signals that a data folder can no longer be used. Immutable.
 *
 * <p>The process ends when this is thrown: a failed sync is never retried.
 */
public final class StorageException extends RuntimeException {
  public StorageException(String message) {
    super(message);
  }

  public StorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
