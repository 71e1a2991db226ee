package org.endivemux.gateway;

import org.endivemux.model.Reason;

/** Signals that the gateway refuses a request with a response of its own. Immutable. */
public final class GatewayRefusal extends RuntimeException {
  private static final long serialVersionUID = 1;

  private static final long MILLIS_PER_SECOND = 1000;
  private static final long DRAINING_RETRY_MILLIS = 100;

  private final Reason reason;
  private final long retryAfterMillis;

  /** Returns a refusal that asks callers to wait for the time that its reason states. */
  public static GatewayRefusal of(Reason reason) {
    return new GatewayRefusal(reason, reason.retryAfterSeconds() * MILLIS_PER_SECOND);
  }

  /** Returns the refusal of an entry that leaves; another entry can be asked almost at once. */
  public static GatewayRefusal draining() {
    return new GatewayRefusal(Reason.DRAINING, DRAINING_RETRY_MILLIS);
  }

  public GatewayRefusal(Reason reason) {
    this(reason, 0);
  }

  /**
   * @param retryAfterMillis how long the caller should wait before a retry; 0 if unspecified
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
