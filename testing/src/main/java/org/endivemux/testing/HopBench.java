package org.endivemux.testing;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Measures the latency that the hop through an entry adds, compared with direct calls to the
 * stand-in in the same run.
 *
 * <p>Direct and routed calls alternate, one at a time. A second part measures the throughput of one
 * entry over a fixed number of connections. Not thread-safe.
 */
public final class HopBench {
  private static final int WARM_UP = 10_000;
  private static final int CALLS = 10_000;
  private static final int STREAM_WARM_UP = 2000;
  private static final int STREAMS = 2000;
  private static final int CONNECTIONS = 64;
  private static final int THROUGHPUT_CALLS = 100_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final String CHAT =
      "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":3,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"hop\"}]}";

  private final String service;
  private final String engine;
  private final String entry;
  private final HttpClient client;

  public HopBench(String service, String engine, String entry, String key) {
    this.service = service;
    this.engine = engine;
    this.entry = entry;
    this.client =
        HttpClient.create(ConnectionProvider.builder("bench").maxConnections(CONNECTIONS).build())
            .headers(headers -> headers.set("Authorization", "Bearer " + key));
  }

  /** Runs all measurements and prints one line for each. */
  public void run() {
    compare(
        "small plain call",
        WARM_UP,
        CALLS,
        time(() -> call("http://" + service + "/ping")),
        time(() -> call("http://" + entry + "/services/till/ping")));
    compare(
        "first token",
        STREAM_WARM_UP,
        STREAMS,
        number -> firstToken("http://" + engine),
        number -> firstToken("http://" + entry));
    throughput();
  }

  private Mono<String> call(String uri) {
    return client
        .request(HttpMethod.GET)
        .uri(uri)
        .responseSingle(
            (response, body) ->
                body.asString().map(text -> requireOk(response.status().code(), text)));
  }

  /**
   * Measures the time to the first bytes; reads the whole stream so that its connection is reused.
   */
  private long firstToken(String base) {
    long start = System.nanoTime();
    AtomicLong firstAt = new AtomicLong();
    client
        .post()
        .uri(base + "/v1/chat/completions")
        .send(ByteBufFlux.fromString(Mono.just(CHAT)))
        .response(
            (response, body) ->
                body.asString().map(text -> requireOk(response.status().code(), text)))
        .doOnNext(text -> firstAt.compareAndSet(0, System.nanoTime()))
        .blockLast(TIMEOUT);
    return firstAt.get() - start;
  }

  private static String requireOk(int status, String text) {
    if (status != 200) {
      throw new IllegalStateException(status + " " + text);
    }
    return text;
  }

  private static Function<Integer, Long> time(java.util.function.Supplier<Mono<String>> call) {
    return number -> {
      long start = System.nanoTime();
      call.get().block(TIMEOUT);
      return System.nanoTime() - start;
    };
  }

  private static void compare(
      String label,
      int warmUp,
      int calls,
      Function<Integer, Long> direct,
      Function<Integer, Long> routed) {
    Histogram directNanos = new Histogram(3);
    Histogram routedNanos = new Histogram(3);
    for (int i = 0; i < warmUp + calls; i++) {
      long first = direct.apply(i);
      long second = routed.apply(i);
      if (i >= warmUp) {
        directNanos.recordValue(first);
        routedNanos.recordValue(second);
      }
    }
    System.out.printf(
        "%s: direct p50 %.3f ms p99 %.3f ms; routed p50 %.3f ms p99 %.3f ms; added p50 %.3f ms p99"
            + " %.3f ms (%d calls)%n",
        label,
        millis(directNanos, 50),
        millis(directNanos, 99),
        millis(routedNanos, 50),
        millis(routedNanos, 99),
        millis(routedNanos, 50) - millis(directNanos, 50),
        millis(routedNanos, 99) - millis(directNanos, 99),
        calls);
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }

  private void throughput() {
    load(THROUGHPUT_CALLS / 4);
    long start = System.nanoTime();
    long done = load(THROUGHPUT_CALLS);
    double seconds = (System.nanoTime() - start) / 1e9;
    System.out.printf(
        "requests a second of one entry over %d connections: %.0f (%d calls in %.1f s)%n",
        CONNECTIONS, done / seconds, done, seconds);
  }

  private long load(int calls) {
    AtomicLong done = new AtomicLong();
    Flux.range(0, calls)
        .flatMap(
            i ->
                call("http://" + entry + "/services/till/ping")
                    .doOnNext(t -> done.incrementAndGet()),
            CONNECTIONS)
        .blockLast(Duration.ofMinutes(2));
    return done.get();
  }
}
