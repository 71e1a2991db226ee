package org.endivemux.routing.fleet;

/**
 * Grows the slots of a server that takes requests again after it had none or few. Stateless and
 * thread-safe.
 */
final class SlotRamp {
  private SlotRamp() {}

  /**
   * Returns how many slots may be used: at least {@code first}, and all at the end of the ramp.
   *
   * @param elapsedNanos time since the start of the ramp, at least 0
   * @param lengthNanos length of the ramp
   */
  static int usableSlots(int first, int slots, long elapsedNanos, long lengthNanos) {
    return elapsedNanos >= lengthNanos
        ? slots
        : (int) Math.min(slots, Math.max(first, slots * elapsedNanos / lengthNanos));
  }
}
