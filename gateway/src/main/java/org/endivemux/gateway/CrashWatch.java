package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.crash.PartVerdicts;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.routing.RetryPolicy.Failure;
import org.endivemux.routing.fleet.CrashTracker;
import org.endivemux.routing.fleet.PromptShape;
import org.endivemux.wire.SendMarker;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Finds out which backend servers crashed during an attempt, and holds back prompts with a part on
 * which servers crash.
 *
 * <p>Invariant: the tracker is accessed under one lock. Thread-safe.
 */
public final class CrashWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A process that ends closes its connections before its port refuses new ones. */
  private static final Duration CHECK_DELAY = Duration.ofMillis(100);

  private final BackendPort backends;
  private final LongSupplier nanos;
  private final Scheduler timers;
  private final CrashTracker tracker = new CrashTracker();

  public CrashWatch(BackendPort backends, LongSupplier nanos, Scheduler timers) {
    this.backends = backends;
    this.nanos = nanos;
    this.timers = timers;
  }

  /**
   * Records a failed attempt; if its connection ended early, checks whether the server is gone. An
   * attempt that was never sent did not crash the server.
   */
  void failed(GatewayServer server, PromptShape prompt, SendMarker marker, Throwable error) {
    boolean broke = marker.mayHaveSent() && AttemptFailure.failureOf(error) == Failure.BROKEN;
    if (broke && attemptBroke(server, prompt)) {
      check(server);
    }
  }

  private synchronized boolean attemptBroke(GatewayServer server, PromptShape prompt) {
    return tracker.attemptBroke(server, prompt, nanos.getAsLong());
  }

  private void check(GatewayServer server) {
    var unused =
        Mono.delay(CHECK_DELAY, timers)
            .then(Mono.defer(() -> backends.isGone(server)))
            .subscribe(
                gone -> checked(server, gone),
                error ->
                    logger.atWarning().log(
                        "event=server_check_failed backend=%s cause=\"%s\"", server.id(), error));
  }

  private void checked(GatewayServer server, boolean gone) {
    logger.atInfo().log("event=server_checked backend=%s gone=%s", server.id(), gone);
    synchronized (this) {
      tracker.serverChecked(server.id(), gone);
    }
  }

  /** Records that a response to a prompt was completed. */
  synchronized void completed(PromptShape prompt) {
    tracker.completed(prompt, nanos.getAsLong());
  }

  /** Returns whether a prompt has a quarantined part and may not be sent now. */
  synchronized boolean isHeldBack(PromptShape prompt) {
    return tracker.isHeldBack(prompt);
  }

  /** Records that a prompt is sent to a backend server. */
  synchronized void sent(PromptShape prompt) {
    tracker.sent(prompt);
  }

  /** Returns what the leader has to know. */
  public synchronized CrashNews news() {
    return tracker.news(nanos.getAsLong());
  }

  /** Replaces the leader's verdicts. */
  public void update(PartVerdicts verdicts) {
    logger.atInfo().log(
        "event=part_verdicts number=%d suspects=%d quarantined=%s",
        verdicts.number(), verdicts.suspects().size(), verdicts.quarantined());
    synchronized (this) {
      tracker.update(verdicts);
    }
  }
}
