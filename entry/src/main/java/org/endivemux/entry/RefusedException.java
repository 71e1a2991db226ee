package org.endivemux.entry;

import org.endivemux.model.Reason;

/** Carries a refusal through a reactive chain to the code that responds with it. Immutable. */
public final class RefusedException extends RuntimeException {
  private static final long MILLIS_PER_SECOND = 1000;

  private final Reason reason;
  private final String detail;
  private final long retryAfterSeconds;

  public RefusedException(Reason reason) {
    this(reason, reason.summary(), reason.retryAfterSeconds());
  }

  public RefusedException(Reason reason, String detail) {
    this(reason, detail, reason.retryAfterSeconds());
  }

  private RefusedException(Reason reason, String detail, long retryAfterSeconds) {
    super(reason + ": " + detail, null, false, false);
    this.reason = reason;
    this.detail = detail;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  /** Returns a refusal with a retry delay, rounded up to whole seconds, at least one. */
  static RefusedException retryAfterMillis(Reason reason, long millis) {
    long seconds = Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    return new RefusedException(reason, reason.summary(), seconds);
  }

  public Reason reason() {
    return reason;
  }

  public String detail() {
    return detail;
  }

  /** Returns the seconds for {@code Retry-After}; 0 to omit the header. */
  public long retryAfterSeconds() {
    return retryAfterSeconds;
  }
}
