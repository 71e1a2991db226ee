package org.endivemux.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Writes a registry in the Prometheus text format. Stateless and thread-safe. */
public final class MetricsText {
  private static final double NANOS_PER_SECOND = 1e9;

  private MetricsText() {}

  public static String of(MetricRegistry registry) {
    Stream<String> counters =
        registry.getCounters().entrySet().stream()
            .map(e -> line(e.getKey(), "_total", e.getValue().getCount()));
    Stream<String> gauges =
        registry.getMetrics().entrySet().stream()
            .flatMap(e -> gauge(e.getKey(), e.getValue()).stream());
    Stream<String> timers =
        registry.getTimers().entrySet().stream()
            .flatMap(
                e ->
                    quantiles(
                        e.getKey() + "_seconds", e.getValue().getSnapshot(), NANOS_PER_SECOND));
    Stream<String> timerCounts =
        registry.getTimers().entrySet().stream()
            .map(e -> line(e.getKey(), "_seconds_count", e.getValue().getCount()));
    Stream<String> histograms =
        registry.getHistograms().entrySet().stream()
            .flatMap(e -> quantiles(e.getKey(), e.getValue().getSnapshot(), 1));
    return Stream.of(counters, gauges, timers, timerCounts, histograms)
        .flatMap(Function.identity())
        .collect(Collectors.joining("\n", "", "\n"));
  }

  private static Optional<String> gauge(String name, Metric metric) {
    return Optional.of(metric)
        .filter(Gauge.class::isInstance)
        .map(gauge -> ((Gauge<?>) gauge).getValue())
        .filter(Number.class::isInstance)
        .map(value -> line(name, "", ((Number) value).doubleValue()));
  }

  private static Stream<String> quantiles(String name, Snapshot snapshot, double divisor) {
    return Stream.of(0.5, 0.95, 0.99)
        .map(
            quantile ->
                prometheusName(name)
                    + "{quantile=\""
                    + quantile
                    + "\"} "
                    + snapshot.getValue(quantile) / divisor);
  }

  private static String line(String name, String suffix, Number value) {
    return prometheusName(name) + suffix + " " + value;
  }

  private static String prometheusName(String name) {
    return "endivemux_" + name.replaceAll("[^A-Za-z0-9_]", "_");
  }
}
