package org.endivemux.gateway;

import org.endivemux.model.Reason;

/** Signals that the gateway answers a request itself. Immutable. */
public final class GatewayRefusal extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final Reason reason;
  private final long retryAfterMillis;

  public GatewayRefusal(Reason reason) {
    this(reason, 0);
  }

  /**
   * @param retryAfterMillis when the caller may come back; 0 for no word on it
   */
  public GatewayRefusal(Reason reason, long retryAfterMillis) {
    super(reason.summary(), null, false, false);
    this.reason = reason;
    this.retryAfterMillis = retryAfterMillis;
  }

  public Reason reason() {
    return reason;
  }

  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
