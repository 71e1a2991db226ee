package org.endivemux.model;

/** States whether a refused request may have run. Immutable and thread-safe. */
public enum ExecutionStatus {
  /** No byte of the request was sent to a backend server. */
  NOT_RUN("not run"),
  /** A backend server may have run the request; its outcome is unknown. */
  OUTCOME_UNKNOWN("outcome unknown");

  private final String text;

  ExecutionStatus(String text) {
    this.text = text;
  }

  /** Returns the text that callers see. */
  public String text() {
    return text;
  }
}
