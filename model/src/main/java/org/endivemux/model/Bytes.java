package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Holds bytes with value equality. Immutable and thread-safe: arrays are copied in and out. */
public final class Bytes {
  private static final Bytes EMPTY = new Bytes(new byte[0]);

  private final byte[] array;

  private Bytes(byte[] array) {
    this.array = array;
  }

  /** Returns the bytes of an array, which is copied. */
  @JsonCreator
  public static Bytes of(byte[] array) {
    return new Bytes(array.clone());
  }

  /** Returns the UTF-8 encoding of a string. */
  public static Bytes ofUtf8(String text) {
    return new Bytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the empty value. */
  public static Bytes empty() {
    return EMPTY;
  }

  /** Returns a copy of the bytes. */
  @JsonValue
  public byte[] toArray() {
    return array.clone();
  }

  /** Returns the bytes decoded as UTF-8. */
  public String toUtf8() {
    return new String(array, StandardCharsets.UTF_8);
  }

  /** Returns the number of bytes. */
  public int size() {
    return array.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes that && Arrays.equals(array, that.array);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(array);
  }

  @Override
  public String toString() {
    return array.length + " bytes";
  }
}
