package org.endivemux.entry;

/** Signals a response that is truncated, too long, out of sequence or an error. Immutable. */
final class BrokenResponseException extends RuntimeException {
  BrokenResponseException(String message) {
    super(message);
  }
}
