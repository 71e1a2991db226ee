package org.endivemux.statechart;

/** Signals an invalid chart or an event that a chart does not allow. Immutable. */
public final class ChartException extends RuntimeException {
  public ChartException(String message) {
    super(message);
  }

  public ChartException(String message, Throwable cause) {
    super(message, cause);
  }
}
