package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Holds bytes as a value. Immutable and thread-safe: the array is copied in and out. */
public final class Bytes {
  private static final Bytes EMPTY = new Bytes(new byte[0]);

  private final byte[] array;

  private Bytes(byte[] array) {
    this.array = array;
  }

  /** Returns a copy of the array as a value. */
  @JsonCreator
  public static Bytes of(byte[] array) {
    return new Bytes(array.clone());
  }

  /** Returns the UTF-8 form of a text. */
  public static Bytes ofUtf8(String text) {
    return new Bytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the value without bytes. */
  public static Bytes empty() {
    return EMPTY;
  }

  /** Returns a copy of the bytes. */
  @JsonValue
  public byte[] toArray() {
    return array.clone();
  }

  /** Returns the text whose UTF-8 form this is. */
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
