package org.endivemux.model;

import java.util.regex.Pattern;

/** Validates the syntax of ids. Stateless and thread-safe. */
final class Ids {
  /** Maximum length of an id, in characters. */
  static final int MAX_LENGTH = 128;

  private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/+-]*");

  private Ids() {}

  static void check(String kind, String value) {
    if (value == null || value.length() > MAX_LENGTH || !ALLOWED.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "A "
              + kind
              + " must start with a letter or digit, hold only letters, digits and ._:/+- and be at"
              + " most "
              + MAX_LENGTH
              + " characters long.");
    }
  }
}
