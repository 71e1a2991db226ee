package org.endivemux.wire;

/** Signals a failed link between VMs or a message that cannot be encoded or decoded. Immutable. */
public final class WireException extends RuntimeException {
  public WireException(String message) {
    super(message);
  }

  public WireException(String message, Throwable cause) {
    super(message, cause);
  }
}
