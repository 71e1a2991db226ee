package org.endivemux.gateway;

import java.util.function.LongSupplier;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.routing.fleet.Binding;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/**
 * Ends silent attempts early if their request can be repeated or resumed elsewhere.
 *
 * <p>Invariant: the attempt on the last server that a request may run on is never ended for its
 * silence. Immutable and thread-safe.
 */
final class AttemptTimeouts {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Timeout for the first byte of an attempt that may be repeated elsewhere, as a multiple of the
   * target.
   */
  private static final double FIRST_BYTE_TIMEOUT_TARGETS = 2;

  /**
   * Timeout for the first byte as a multiple of the expected prefill: an engine that still works
   * off its queue is busy, not silent.
   */
  private static final int FIRST_BYTE_TIMEOUT_PREFILLS = 3;

  private static final long MIN_FIRST_BYTE_TIMEOUT_NANOS = 600 * NANOS_PER_MILLI;

  /** Shortest timeout between events of a stream that may be resumed elsewhere. */
  private static final long MIN_GAP_TIMEOUT_NANOS = 1000 * NANOS_PER_MILLI;

  private final ServiceRetryAllowances retries;
  private final LongSupplier nanos;
  private final Scheduler timers;

  AttemptTimeouts(ServiceRetryAllowances retries, LongSupplier nanos, Scheduler timers) {
    this.retries = retries;
    this.nanos = nanos;
    this.timers = timers;
  }

  /** Returns the response of an attempt, which fails when its server is silent for too long. */
  Flux<ResponsePart> guard(
      AdmittedRequest request, Progress progress, Binding binding, Flux<ResponsePart> parts) {
    HostRoute route = request.route();
    if (!route.repeatable() || progress.runsWithCurrent() >= route.maxServers()) {
      return parts;
    }
    return new SilenceTimeout(
            firstByteNanos(route, binding),
            Math.max(MIN_GAP_TIMEOUT_NANOS, 2 * route.gapMillis() * NANOS_PER_MILLI),
            () ->
                progress.runsWithCurrent() < route.maxServers()
                    && retries.hasRepeat(request.service()),
            nanos,
            timers)
        .guard(parts);
  }

  private static long firstByteNanos(HostRoute route, Binding binding) {
    long prefill = FIRST_BYTE_TIMEOUT_PREFILLS * binding.expectedPrefillNanos();
    double target = route.targetMillis() * NANOS_PER_MILLI * FIRST_BYTE_TIMEOUT_TARGETS;
    return Math.max(Math.max(MIN_FIRST_BYTE_TIMEOUT_NANOS, prefill), (long) target);
  }
}
