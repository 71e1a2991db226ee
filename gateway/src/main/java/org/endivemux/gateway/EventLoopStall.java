package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Tracks when the event loop last read from callers' connections, by a steady tick on the loop.
 *
 * <p>Invariant: a request that is read during or right after a stall is taken to have arrived when
 * the stall began, since the kernel holds requests and closes while the loop does not read. Before
 * {@link #start} no time counts as a stall. Thread-safe; times are monotonic nanoseconds.
 */
public final class EventLoopStall {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK = Duration.ofMillis(20);

  /**
   * Longer than the usual pauses of a VM with a small processor share: one with 0.12 of a core may
   * be held up for about 90 of each 100 ms in normal service.
   */
  private static final Duration MIN_STALL = Duration.ofMillis(200);

  /** A turn of the loop that takes this long may leave requests and closes unread behind it. */
  private static final Duration SLOW_TURN = TICK.multipliedBy(2);

  /** The loop accepts a bounded number of connections a turn, so a backlog takes some turns. */
  private static final Duration BACKLOG = Duration.ofMillis(100);

  /**
   * The first delay may end in the turn in which it began; each further one ends in a later turn.
   * The close of a connection is read a turn after its last bytes.
   */
  private static final int YIELDS = 3;

  private static final Duration YIELD = Duration.ofMillis(1);

  private final LongSupplier nanos;
  private final Scheduler loop;
  private boolean started;
  private long lastTick;
  private long stalledSince;
  private long settledAt;
  private long backlogReadAt;
  private long count;

  /**
   * @param loop runs on the event loop of the callers' connections
   */
  public EventLoopStall(LongSupplier nanos, Scheduler loop) {
    this.nanos = nanos;
    this.loop = loop;
  }

  /** Starts the ticks; called right before the callers' port is opened. */
  public void start() {
    begin();
    var unused =
        loop.schedulePeriodically(
            this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
  }

  private synchronized void begin() {
    started = true;
    lastTick = nanos.getAsLong();
    settledAt = lastTick;
    backlogReadAt = lastTick;
  }

  private void tick() {
    long stalled = recordTick();
    if (stalled > 0) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "event=loop_stalled millis=%d", Duration.ofNanos(stalled).toMillis());
    }
  }

  /** Returns how long the loop was stalled before this tick; 0 if it was not. */
  private synchronized long recordTick() {
    long now = nanos.getAsLong();
    long stalled = isStalled(now) ? now - lastTick : 0;
    if (isSlowTurn(now)) {
      backlogReadAt = Math.max(backlogReadAt, now + BACKLOG.toNanos());
    }
    if (stalled > 0) {
      count++;
      stalledSince = lastTick;
      settledAt = now + BACKLOG.toNanos();
      // A backlog grows with the stall; at 5 ms a request, 20 connections took more than 100 ms.
      backlogReadAt = now + Math.max(BACKLOG.toNanos(), stalled);
    }
    lastTick = now;
    return stalled;
  }

  private boolean isSlowTurn(long now) {
    return started && now - lastTick > SLOW_TURN.toNanos();
  }

  private boolean isStalled(long now) {
    return started && now - lastTick > MIN_STALL.toNanos();
  }

  /** Returns the number of stalls that have ended. */
  public synchronized long count() {
    return count;
  }

  /** Returns the earliest time at which a request that is read now can have arrived. */
  synchronized long earliestArrival() {
    long now = nanos.getAsLong();
    if (isStalled(now)) {
      return lastTick;
    }
    return started && settledAt - now > 0 ? stalledSince : now;
  }

  private synchronized boolean mayHavePendingReads() {
    long now = nanos.getAsLong();
    return isSlowTurn(now) || (started && backlogReadAt - now > 0);
  }

  /** Returns the checks of one attempt to send a request. */
  SendCheck newSendCheck() {
    return new SendCheck();
  }

  /**
   * Keeps one attempt from being sent while the close of its caller's connection may be unread.
   *
   * <p>Thread-safe.
   */
  final class SendCheck {
    private volatile long countBefore;

    /**
     * Completes when the loop has read what was pending on callers' connections; at once unless a
     * turn of the loop takes long or has just done so.
     */
    Mono<Void> pendingReads() {
      return Mono.defer(
              () ->
                  mayHavePendingReads()
                      ? Mono.delay(YIELD, loop).repeat(YIELDS - 1).then()
                      : Mono.<Void>empty())
          .doOnSuccess(nothing -> countBefore = count());
    }

    /** Returns whether the loop has not been stalled since {@link #pendingReads} completed. */
    boolean isSteady() {
      synchronized (EventLoopStall.this) {
        return count == countBefore && !isStalled(nanos.getAsLong());
      }
    }
  }
}
