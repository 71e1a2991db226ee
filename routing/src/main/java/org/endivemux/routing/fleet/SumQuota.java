package org.endivemux.routing.fleet;

/**
 * Limits what one entry of a large fleet sends until it learns of the others' load again.
 *
 * <p>All entries see the same free slots in a sum that is some hundred milliseconds old. Invariant:
 * together they take about as many slots, and as many tokens of prefill, as the sum showed to be
 * free; a slot that an own request frees may be taken again by the entry that knows of it. Confined
 * to the scheduler's thread.
 */
final class SumQuota {
  private int slots;
  private double tokens;

  /**
   * Grants this entry's part of the free capacity.
   *
   * @param freeSlots slots of the whole fleet that may be taken
   * @param freeTokens prompt tokens that all engines may be sent until the next sum
   * @param dither between 0 and 1; rounds parts of a slot up at some entries and down at others
   */
  void grant(double freeSlots, double freeTokens, int entries, double dither) {
    slots = (int) Math.floor(freeSlots / entries + dither);
    tokens = Math.min(tokens, 0) + freeTokens / entries;
  }

  boolean hasSlot() {
    return slots > 0;
  }

  /** Returns whether another prompt may be sent; the last one may exceed the grant. */
  boolean hasTokens() {
    return tokens > 0;
  }

  void take(int prefillTokens) {
    slots--;
    tokens -= prefillTokens;
  }

  void slotFreed() {
    slots++;
  }
}
