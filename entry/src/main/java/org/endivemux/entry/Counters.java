package org.endivemux.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivemux.model.ClassName;
import org.endivemux.model.Reason;
import org.endivemux.model.RetryReason;
import org.endivemux.wire.http.ResponseFault;

/**
 * Counts the requests, retries and tokens of an entry.
 *
 * <p>Invariant: the counters of all refusal and retry reasons exist from the start, even when zero.
 * Thread-safe.
 */
public final class Counters {
  private final MetricRegistry registry;
  private final Map<Reason, Counter> refusals = new EnumMap<>(Reason.class);
  private final Map<RetryReason, Counter> retries = new EnumMap<>(RetryReason.class);
  private final Counter mismatchedResponses;
  private final Counter strayBytes;
  private final Map<ResponseFault.Reason, Counter> responseFaults =
      new EnumMap<>(ResponseFault.Reason.class);

  public Counters(MetricRegistry registry) {
    this.registry = registry;
    Arrays.stream(Reason.values())
        .forEach(reason -> refusals.put(reason, registry.counter("refusals." + reason)));
    Arrays.stream(RetryReason.values())
        .forEach(reason -> retries.put(reason, registry.counter("retries." + reason)));
    this.mismatchedResponses = registry.counter("backend.crossedAnswers");
    this.strayBytes = registry.counter("backend.strayBytes");
    Arrays.stream(ResponseFault.Reason.values())
        .forEach(
            reason ->
                responseFaults.put(reason, registry.counter("backend.responseFaults." + reason)));
  }

  void refused(Reason reason) {
    refusals.get(reason).inc();
  }

  void retried(RetryReason reason) {
    retries.get(reason).inc();
  }

  void mismatchedResponse() {
    mismatchedResponses.inc();
  }

  /** Counts bytes of backend servers that belonged to no request. */
  void strayBytes(long count) {
    strayBytes.inc(count);
  }

  /** Counts a response of a backend server that was not passed on, or not to its end. */
  void responseFault(ResponseFault.Reason reason) {
    responseFaults.get(reason).inc();
  }

  /** Counts tokens that backend servers generated and no caller received. */
  void wasted(int tokens) {
    registry.counter("tokens.wasted").inc(tokens);
  }

  void delivered(int tokens) {
    registry.counter("tokens.delivered").inc(tokens);
  }

  void responded(ClassName requestClass, long nanos, boolean onTime) {
    Timer timer = registry.timer("answers." + requestClass);
    timer.update(nanos, TimeUnit.NANOSECONDS);
    registry.counter("answers." + requestClass + (onTime ? ".onTime" : ".late")).inc();
  }

  /** Returns the registry of all metrics. */
  public MetricRegistry registry() {
    return registry;
  }
}
