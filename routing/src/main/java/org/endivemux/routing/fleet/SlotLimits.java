package org.endivemux.routing.fleet;

import org.endivemux.model.BackendServerId;

/**
 * Limits how many requests a server is sent, by its slots, its notices, its warm-up and the rate
 * that it has stated.
 *
 * <p>A fleet counts as large while sums of the load of all other entries arrive. Not thread-safe.
 */
final class SlotLimits {
  private static final int DEFAULT_SLOTS = 8;

  /**
   * Multiple of its slots that an engine of a large fleet is sent. Otherwise jobs that wait at many
   * entries would all take the same free slots as soon as they learn of them, while an engine's own
   * queue serves them in order.
   */
  private static final int LARGE_FLEET_CAPACITY_FACTOR = 2;

  /** The fleet no longer counts as large when the last sum is this old. */
  private static final long AGGREGATE_LOAD_EXPIRY_NANOS = 3_000_000_000L;

  /** Long before any time, and such that a difference to it does not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ServerNotices notices;
  private final WarmUpLimit warmUp;
  private final StatedLimits statedLimits;
  private long aggregateLoadAt = NEVER;

  SlotLimits(ServerNotices notices, WarmUpLimit warmUp, StatedLimits statedLimits) {
    this.notices = notices;
    this.warmUp = warmUp;
    this.statedLimits = statedLimits;
  }

  /** Records that a sum of the load of all other entries has arrived. */
  void aggregateLoadReceived(long now) {
    aggregateLoadAt = now;
  }

  /** Returns whether the fleet counts as large. */
  boolean isLarge(long now) {
    return now - aggregateLoadAt < AGGREGATE_LOAD_EXPIRY_NANOS;
  }

  /** Returns whether sums have arrived, but none for so long that the last one has expired. */
  boolean isAggregateLoadLost(long now) {
    return aggregateLoadAt != NEVER && !isLarge(now);
  }

  /** Returns how many requests may be in flight at a server. */
  int capacity(ServerLoad load, long now) {
    int usable = usableSlots(load, now);
    return isLarge(now) ? usable * LARGE_FLEET_CAPACITY_FACTOR : usable;
  }

  /** Returns the slots that the server's notices, its warm-up and its stated limit allow. */
  int usableSlots(ServerLoad load, long now) {
    BackendServerId id = load.server().id();
    if (!statedLimits.allows(id, now)) {
      return 0;
    }
    return Math.min(
        notices.usableSlots(id, slots(load), now), warmUp.usableSlots(id, slots(load), now));
  }

  /** Returns the slots of a server, or the default if it lists none. */
  static int slots(ServerLoad load) {
    return load.server().slots() > 0 ? load.server().slots() : DEFAULT_SLOTS;
  }
}
