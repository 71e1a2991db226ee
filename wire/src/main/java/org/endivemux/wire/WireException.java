package org.endivemux.wire;

/** Signals a message or link between VMs that does not work. Immutable. */
public final class WireException extends RuntimeException {
  public WireException(String message) {
    super(message);
  }

  public WireException(String message, Throwable cause) {
    super(message, cause);
  }
}
