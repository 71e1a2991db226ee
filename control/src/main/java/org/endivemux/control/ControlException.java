package org.endivemux.control;

/** Signals that the voters could not accept or answer a request. Immutable. */
public final class ControlException extends RuntimeException {
  public ControlException(String message) {
    super(message);
  }

  public ControlException(String message, Throwable cause) {
    super(message, cause);
  }
}
