package org.endivemux.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests of keys. Stateless and thread-safe. */
public final class Keys {
  private Keys() {}

  /** Returns the SHA-256 digest of a key. */
  public static KeyDigest digest(String key) {
    return new KeyDigest(sha256(key.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the SHA-256 digest of bytes as hexadecimal digits. */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java platform must have SHA-256.", e);
    }
  }
}
