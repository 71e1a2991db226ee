package org.endivemux.entry;

/** Signals an answer that ended early or does not go on where it should. Immutable. */
final class BrokenAnswerException extends RuntimeException {
  BrokenAnswerException(String message) {
    super(message);
  }
}
