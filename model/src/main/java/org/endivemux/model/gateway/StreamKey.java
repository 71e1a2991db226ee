package org.endivemux.model.gateway;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a stream by a digest of the id of the caller's attempt that brought its first event.
 * Immutable and thread-safe.
 *
 * @param digest the first eight bytes of the SHA-256 digest, so that callers cannot choose it
 */
public record StreamKey(@JsonValue long digest) {
  @JsonCreator
  public StreamKey {}

  /** Returns the key of the stream that an attempt began. */
  public static StreamKey of(String attemptId) {
    try {
      byte[] bytes = attemptId.getBytes(StandardCharsets.UTF_8);
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
      return new StreamKey(ByteBuffer.wrap(digest).getLong());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Each Java platform has SHA-256.", e);
    }
  }
}
