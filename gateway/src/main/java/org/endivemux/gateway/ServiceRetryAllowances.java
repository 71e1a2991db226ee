package org.endivemux.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.routing.fleet.RetryAllowance;

/**
 * Holds this entry's allowance of repeated requests for each service.
 *
 * <p>Invariant: see {@link RetryAllowance}. Thread-safe.
 */
public final class ServiceRetryAllowances {
  private final Limits limits;
  private final IntSupplier entries;
  private final LongSupplier nanos;
  private final Map<ServiceName, RetryAllowance> allowances = new HashMap<>();

  /**
   * Holds the limit that all entries share. Immutable and thread-safe.
   *
   * @param ratio repeats allowed for each request of a service
   * @param slack repeats allowed beyond that in any window
   */
  public record Limits(double ratio, int windowSeconds, double slack) {}

  /**
   * Creates the allowances of one entry.
   *
   * @param entries returns the number of entries that share the limit
   */
  public ServiceRetryAllowances(Limits limits, IntSupplier entries, LongSupplier nanos) {
    this.limits = limits;
    this.entries = entries;
    this.nanos = nanos;
  }

  synchronized void requested(ServiceName service) {
    of(service).recordRequest(nanos.getAsLong());
  }

  /** Returns whether a repeat is left. */
  synchronized boolean hasRepeat(ServiceName service) {
    return of(service).hasRetry(entries.getAsInt(), nanos.getAsLong());
  }

  /** Takes one repeat; returns false when none is left. */
  synchronized boolean tryRepeat(ServiceName service) {
    return of(service).tryRetry(entries.getAsInt(), nanos.getAsLong());
  }

  private RetryAllowance of(ServiceName service) {
    return allowances.computeIfAbsent(
        service,
        name -> new RetryAllowance(limits.ratio(), limits.windowSeconds(), limits.slack()));
  }
}
