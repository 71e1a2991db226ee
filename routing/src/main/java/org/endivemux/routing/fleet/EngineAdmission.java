package org.endivemux.routing.fleet;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;

/**
 * Decides which jobs the engines of one service may be sent now, when capacity is short.
 *
 * <p>Invariants: no job is sent to an engine whose known slots are all taken. Less urgent jobs
 * leave slots open for the more urgent ones that are expected until they become known, and fill an
 * engine's prefill only so far that a more urgent job that comes next can be on time. A kind that
 * gets far less than the others may use half of the open slots too. Reads no clock: monotonic
 * nanoseconds are passed in. Confined to the scheduler's thread.
 */
final class EngineAdmission {
  /**
   * Part of the strictest more urgent target that the prefill of less urgent jobs may take. The
   * rest is for the urgent job's own prefill and the way there.
   */
  private static final double PREFILL_SHARE_OF_TARGET = 0.5;

  /**
   * Part of a job's target that is left at least: an entry refuses a job that has waited longer.
   */
  private static final double MIN_TARGET_LEFT = 0.25;

  /** Less urgent kinds may always use this part of an engine's slots. */
  private static final double MAX_OPEN_SHARE = 0.5;

  /** Standard deviations of a Poisson process, so that 97 in 100 urgent arrivals find a slot. */
  private static final double ARRIVAL_DEVIATIONS = 2;

  /** No request is held back while less than this part of the slots is taken. */
  private static final double FREE_USE_SHARE = 0.5;

  /**
   * Entries that may send an engine less urgent work in one interval while capacity is scarce. An
   * engine prefills about two long prompts in a usual interval, and not every sender has one.
   */
  private static final int SENDERS_PER_INTERVAL = 4;

  /** Interval at which the members of a small fleet exchange their loads. */
  private static final long SMALL_FLEET_INTERVAL_NANOS = 60_000_000L;

  /** Longer intervals between sums are outages, which the loads' expiry handles. */
  private static final long MAX_INTERVAL_NANOS = 1_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;

  private final IntSupplier entries;
  private final PrefillRate rate;
  private final MemoryReserve reserve = new MemoryReserve();
  private final UrgencyDemand demand = new UrgencyDemand();
  private final TreeMap<Integer, SumQuota> quotas = new TreeMap<>();
  private NavigableMap<Integer, Long> targetNanos = new TreeMap<>();
  private long intervalNanos = SMALL_FLEET_INTERVAL_NANOS;
  private long lastSumAt = Long.MIN_VALUE;
  private boolean hasNewSum;
  private boolean isQuotaInForce;
  private boolean isCapacityScarce;
  private int engines = 1;

  EngineAdmission(IntSupplier entries, PrefillRate rate) {
    this.entries = entries;
    this.rate = rate;
  }

  /** Replaces the strictest target of each urgency, in nanoseconds. */
  void updateTargets(NavigableMap<Integer, Long> strictest) {
    targetNanos = strictest;
  }

  void offered(FleetJob job, long now) {
    demand.offered(job.urgency(), now);
  }

  /** Records that a sum of what all other entries have in flight has arrived. */
  void sumArrived(long now) {
    if (lastSumAt != Long.MIN_VALUE) {
      intervalNanos = Math.max(1, Math.min(MAX_INTERVAL_NANOS, now - lastSumAt));
    }
    lastSumAt = now;
    hasNewSum = true;
  }

  /**
   * Prepares the decisions on the waiting jobs.
   *
   * @param usableSlots slots of an engine that may be used now
   * @param last any waiting job, whose id varies the rounding between entries
   * @param isLargeFleet whether other entries' load is known as sums
   */
  void startPass(
      List<ServerLoad> listed,
      ToIntFunction<ServerLoad> usableSlots,
      FleetJob last,
      boolean isLargeFleet,
      long now) {
    engines = Math.max(1, listed.size());
    isQuotaInForce = isLargeFleet;
    if (isLargeFleet && hasNewSum) {
      hasNewSum = false;
      targetNanos.keySet().stream()
          .skip(1)
          .forEach(urgency -> grant(urgency, listed, usableSlots, last, now));
    }
  }

  private void grant(
      int urgency,
      List<ServerLoad> listed,
      ToIntFunction<ServerLoad> usableSlots,
      FleetJob waiting,
      long now) {
    double perEngine = tokens(strictestAbove(urgency) + intervalNanos);
    double freeSlots = 0;
    double freeTokens = 0;
    double taken = 0;
    double all = 0;
    for (ServerLoad load : listed) {
      int slots = usableSlots.applyAsInt(load);
      all += slots;
      taken += load.total(now);
      freeSlots += Math.max(0, slots - openSlots(urgency, slots, now) - load.total(now));
      freeTokens += Math.max(0, perEngine - load.pendingPrefillTokens(now));
    }
    isCapacityScarce =
        taken >= all * FREE_USE_SHARE || freeTokens <= perEngine * listed.size() * FREE_USE_SHARE;
    quotas
        .computeIfAbsent(urgency, none -> new SumQuota())
        .grant(freeSlots, freeTokens, Math.max(1, entries.getAsInt()), dither(waiting));
  }

  private static double dither(FleetJob job) {
    int values = 1 << 16;
    return Math.floorMod((job.id().hashCode() * 0x9E3779B9) >>> 8, values) / (double) values;
  }

  /** Returns whether a job may be sent to an engine now. */
  boolean admits(FleetJob job, ServerLoad load, int usableSlots, long now) {
    boolean isBelowFloor = demand.isBelowFloor(job.urgency());
    int open = openSlots(job.urgency(), usableSlots, now);
    return load.total(now) < usableSlots - (isBelowFloor ? open / 2 : open)
        && hasQuota(job, isBelowFloor)
        && hasMemory(job, load, now)
        && maySendInThisInterval(job, load)
        && hasPrefillRoom(job, load, now);
  }

  /**
   * Returns whether this entry is one of the few whose waiting jobs may use an engine until the
   * next sum. Otherwise all entries with long prompts would fill the few engines with room at once.
   */
  private boolean maySendInThisInterval(FleetJob job, ServerLoad load) {
    if (!isQuotaInForce || !isCapacityScarce || isMostUrgent(job)) {
      return true;
    }
    int hash =
        (job.id().hashCode() * 31 + load.server().id().hashCode() + Long.hashCode(lastSumAt))
            * 0x9E3779B9;
    return Math.floorMod(hash >>> 8, Math.max(1, entries.getAsInt())) < SENDERS_PER_INTERVAL;
  }

  private boolean hasMemory(FleetJob job, ServerLoad load, long now) {
    int others = Math.max(0, entries.getAsInt() - 1);
    return load.freeMemoryTokens(now) - MemoryReserve.tokens(job)
        >= reserve.tokens(others, engines, intervalNanos, now);
  }

  private boolean isMostUrgent(FleetJob job) {
    return targetNanos.headMap(job.urgency()).isEmpty();
  }

  private boolean hasQuota(FleetJob job, boolean isBelowFloor) {
    Map.Entry<Integer, SumQuota> quota = quotas.floorEntry(job.urgency());
    return !isQuotaInForce
        || !isCapacityScarce
        || quota == null
        || (quota.getValue().hasTokens() && (isBelowFloor || quota.getValue().hasSlot()));
  }

  /** Returns how many slots stay open for the more urgent jobs that are not known of yet. */
  private int openSlots(int urgency, int slots, long now) {
    double expected =
        demand.moreUrgentPerSecond(urgency, now)
            * Math.max(1, entries.getAsInt())
            / engines
            * (intervalNanos / NANOS_PER_SECOND);
    double open = Math.ceil(expected + ARRIVAL_DEVIATIONS * Math.sqrt(expected));
    return (int) Math.min(open, slots * MAX_OPEN_SHARE);
  }

  /**
   * Returns whether the prefill at an engine leaves room for a job. A prompt that exceeds the
   * budget alone counts as half of it, so that it is not starved.
   */
  private boolean hasPrefillRoom(FleetJob job, ServerLoad load, long now) {
    double budget = tokens(prefillBudget(job, now));
    return pendingTokens(job, load, now) + Math.min(load.uncachedTokens(job.prompt()), budget / 2)
        <= budget;
  }

  /**
   * Returns the prefill pending at an engine. Where quotas limit what other entries add to the last
   * sum, the engine has worked off a part of it since then.
   */
  private double pendingTokens(FleetJob job, ServerLoad load, long now) {
    double known = load.pendingPrefillTokens(now);
    if (!isQuotaInForce || isMostUrgent(job)) {
      return known;
    }
    double own = load.ownPendingPrefillTokens();
    return own + Math.max(0, known - own - tokens(Math.max(0, now - lastSumAt)));
  }

  /** Returns the time that all prefill at an engine may take once a job has been sent there. */
  private long prefillBudget(FleetJob job, long now) {
    long target = targetNanos.getOrDefault(job.urgency(), MAX_INTERVAL_NANOS);
    long own = Math.max((long) (target * MIN_TARGET_LEFT), target - (now - job.arrivedAt()));
    return Math.min(own, strictestAbove(job.urgency()));
  }

  private long strictestAbove(int urgency) {
    return targetNanos.headMap(urgency).values().stream()
        .mapToLong(strictest -> (long) (strictest * PREFILL_SHARE_OF_TARGET))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private double tokens(long nanos) {
    return nanos / NANOS_PER_MILLI * rate.tokensPerMilli();
  }

  /** Records that a job has been sent. */
  void started(FleetJob job, int prefillTokens, long now) {
    reserve.started(job, now);
    demand.started(job.urgency());
    quotas.tailMap(job.urgency()).values().forEach(quota -> quota.take(prefillTokens));
  }

  /** Records that a slot which this entry had taken is free. */
  void ended() {
    quotas.values().forEach(SumQuota::slotFreed);
  }
}
