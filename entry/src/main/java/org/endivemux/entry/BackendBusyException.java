package org.endivemux.entry;

/** Signals that a backend server said that it has no room. Immutable. */
final class BackendBusyException extends RuntimeException {
  BackendBusyException() {
    super("The backend server has no room.");
  }
}
