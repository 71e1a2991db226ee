package org.endivemux.model;

import java.util.OptionalLong;
import java.util.UUID;

/**
 * Extracts the creation time of an idempotency key.
 *
 * <p>A key is a version 7 UUID (RFC 9562), whose first 48 bits are the Unix time in milliseconds.
 * The time distinguishes a new key from one whose outcome has already expired. Stateless and
 * thread-safe.
 */
public final class IdempotencyTime {
  private static final int VERSION = 7;
  private static final int TIME_SHIFT_BITS = 16;

  private IdempotencyTime() {}

  /** Returns the Unix time in milliseconds, or empty when the key is not a version 7 UUID. */
  public static OptionalLong millis(IdempotencyKey key) {
    try {
      UUID uuid = UUID.fromString(key.value());
      return uuid.version() == VERSION
          ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT_BITS)
          : OptionalLong.empty();
    } catch (IllegalArgumentException e) {
      return OptionalLong.empty();
    }
  }

  /** Returns a key with the given time and random bits. */
  public static IdempotencyKey of(long millis, long randomHigh, long randomLow) {
    long high = (millis << TIME_SHIFT_BITS) | ((long) VERSION << 12) | (randomHigh & 0xFFF);
    long low = (randomLow & 0x3FFF_FFFF_FFFF_FFFFL) | Long.MIN_VALUE;
    return new IdempotencyKey(new UUID(high, low).toString());
  }
}
