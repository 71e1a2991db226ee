package org.endivemux.entry;

/** Signals that a backend server refused a request because it has no free slot. Immutable. */
final class BackendBusyException extends RuntimeException {
  BackendBusyException() {
    super("The backend server has no free slot.");
  }
}
