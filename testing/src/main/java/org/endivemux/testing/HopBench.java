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
 * Measures what the hop through an entry adds, against the stand-in called directly in the same
 * run.
 *
 * <p>Direct and routed calls alternate, one at a time; then as many calls as a number of
 * connections carries show the requests a second. Used by one thread.
 */
public final class HopBench {
  private static final int WARM_UP = 10_000;
  private static final int CALLS = 10_000;
  private static final int STREAM_WARM_UP = 2000;
  private static final int STREAMS = 2000;
  private static final int CONNECTIONS = 64;
  private static final int THROUGHPUT_CALLS = 100_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final Duration LIMIT = Duration.ofSeconds(30);
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
            (response, body) -> body.asString().map(text -> check(response.status().code(), text)));
  }

  /** Reads a stream to its end, so that the connection is used again; times its first bytes. */
  private long firstToken(String base) {
    long start = System.nanoTime();
    AtomicLong firstAt = new AtomicLong();
    client
        .post()
        .uri(base + "/v1/chat/completions")
        .send(ByteBufFlux.fromString(Mono.just(CHAT)))
        .response(
            (response, body) -> body.asString().map(text -> check(response.status().code(), text)))
        .doOnNext(text -> firstAt.compareAndSet(0, System.nanoTime()))
        .blockLast(LIMIT);
    return firstAt.get() - start;
  }

  private static String check(int status, String text) {
    if (status != 200) {
      throw new IllegalStateException(status + " " + text);
    }
    return text;
  }

  private static Function<Integer, Long> time(java.util.function.Supplier<Mono<String>> call) {
    return number -> {
      long start = System.nanoTime();
      call.get().block(LIMIT);
      return System.nanoTime() - start;
    };
  }

  private static void compare(
      String what,
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
        what,
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
