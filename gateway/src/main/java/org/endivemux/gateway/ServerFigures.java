package org.endivemux.gateway;

import java.util.List;
import java.util.function.LongSupplier;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.SpeedAt;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.ServerNotices;

/**
 * Gives the state of the backend servers as one entry knows it, for gauges and polls of the leader.
 *
 * <p>Accesses the scheduler and the notices under the lock of the {@link ServerPool} that created
 * it. Thread-safe.
 */
public final class ServerFigures {
  private final Object lock;
  private final FleetScheduler scheduler;
  private final ServerNotices notices;
  private final LongSupplier nanos;

  ServerFigures(Object lock, FleetScheduler scheduler, ServerNotices notices, LongSupplier nanos) {
    this.lock = lock;
    this.scheduler = scheduler;
    this.notices = notices;
    this.nanos = nanos;
  }

  /** Returns the samples of server speeds that the next poll of the leader carries. */
  public List<SpeedAt> nextSpeeds() {
    synchronized (lock) {
      return scheduler.nextSpeeds();
    }
  }

  /** Returns the ratio of the fastest server to the slowest, 1 while no speeds are measured. */
  public double speedSpread() {
    synchronized (lock) {
      return scheduler.speedSpread();
    }
  }

  /** Returns the servers that have said that they leave. */
  public List<BackendServerId> leaving() {
    synchronized (lock) {
      return notices.leaving();
    }
  }

  /** Returns the servers with a warm-up that lately refused connections of this entry. */
  public List<BackendServerId> refusing() {
    synchronized (lock) {
      return scheduler.refusing(nanos.getAsLong());
    }
  }

  /** Returns the number of servers that have asked for a pause which has not ended. */
  public int pausedCount() {
    synchronized (lock) {
      return notices.pausedCount(nanos.getAsLong());
    }
  }

  /** Returns the number of servers that have stated a rate limit. */
  public int limitedCount() {
    synchronized (lock) {
      return scheduler.limitedCount();
    }
  }

  /** Returns the number of requests that overload protection makes wait. */
  public int heldBackCount() {
    synchronized (lock) {
      return scheduler.heldBackCount();
    }
  }

  /** Returns the number of servers that are treated as cold. */
  public int coldCount() {
    synchronized (lock) {
      return scheduler.coldCount(nanos.getAsLong());
    }
  }
}
