package org.endivemux.wire.http;

/** Signals a response that is not passed on because of a fault of its server. Immutable. */
public final class ResponseFaultException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final ResponseFault.Reason reason;

  ResponseFaultException(ResponseFault.Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  public ResponseFault.Reason reason() {
    return reason;
  }
}
