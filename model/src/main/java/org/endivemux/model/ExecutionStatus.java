package org.endivemux.model;

/** Tells a refused caller whether its request may have run. Immutable and thread-safe. */
public enum ExecutionStatus {
  /** No byte of the request left for a backend server. */
  NOT_RUN("not run"),
  /** A backend server may have run the request; the outcome is not known. */
  OUTCOME_UNKNOWN("outcome unknown");

  private final String text;

  ExecutionStatus(String text) {
    this.text = text;
  }

  /** Returns the words that callers see. */
  public String text() {
    return text;
  }
}
