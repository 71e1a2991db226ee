package org.endivemux.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.endivemux.model.Reason;
import org.endivemux.model.RetryReason;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.wire.http.ResponseFault;

/** Counts refusals and retries and measures response times of a gateway. Thread-safe. */
public final class GatewayCounters {
  private static final String STRAY_BYTES = "backend.strayBytes";
  private static final String RESPONSE_FAULTS = "backend.responseFaults.";

  private final MetricRegistry registry;

  public GatewayCounters(MetricRegistry registry) {
    this.registry = registry;
    for (Reason reason : Reason.values()) {
      registry.counter("refusals." + reason);
    }
    for (RetryReason reason : RetryReason.values()) {
      registry.counter("retries." + reason);
    }
    registry.counter(STRAY_BYTES);
    for (ResponseFault.Reason reason : ResponseFault.Reason.values()) {
      registry.counter(RESPONSE_FAULTS + reason);
    }
    for (HedgeOutcome outcome : HedgeOutcome.values()) {
      registry.counter("hedges." + outcome);
    }
  }

  public void refused(Reason reason) {
    registry.counter("refusals." + reason).inc();
  }

  /** Counts bytes of backend servers that belonged to no request. */
  public void strayBytes(long count) {
    registry.counter(STRAY_BYTES).inc(count);
  }

  /** Counts a response of a backend server that was not passed on, or not to its end. */
  public void responseFault(ResponseFault.Reason reason) {
    registry.counter(RESPONSE_FAULTS + reason).inc();
  }

  void retried(RetryReason reason) {
    registry.counter("retries." + reason).inc();
  }

  void hedged(HedgeOutcome outcome) {
    registry.counter("hedges." + outcome).inc();
  }

  void answered(HostRoute route, long nanos) {
    registry.timer("answers.kind." + route.kind()).update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Returns the registry of all metrics. */
  public MetricRegistry registry() {
    return registry;
  }
}
