package org.endivemux.wire.http;

import java.util.regex.Pattern;

/** Tells which texts are the status of a response. Stateless and thread-safe. */
final class ResponseStatus {
  private static final Pattern VALID = Pattern.compile("[1-5]\\d\\d");

  private ResponseStatus() {}

  /** Returns whether a text is three digits from 100 to 599; others have no meaning for callers. */
  static boolean isValid(String text) {
    return VALID.matcher(text).matches();
  }
}
