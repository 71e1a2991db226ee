package org.endivemux.testing;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.endivemux.testing.StandIn.Reply;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Stands in for a service without a model, such as a till or a booking desk.
 *
 * <p>It counts the runs of each idempotency key, so that a duplicate run is detected. {@code POST
 * /fault} sets a delay, and whether responses are lost after the run. Thread-safe.
 */
public final class PlainService implements AutoCloseable {
  private final Map<String, AtomicLong> runs = new ConcurrentHashMap<>();
  private final AtomicLong keysSeen = new AtomicLong();
  private final DisposableServer server;
  private volatile int delayMillis;
  private volatile boolean losesResponses;

  public PlainService(int port) {
    this.server =
        StandIn.serve(
            port,
            routes ->
                routes
                    .get("/stats", StandIn.json((request, body) -> Reply.ok(stats())))
                    .post("/fault", StandIn.json((request, body) -> fault(body)))
                    .route(request -> true, this::run));
  }

  private Reply fault(JsonNode body) {
    delayMillis = body.path("delayMillis").asInt(delayMillis);
    losesResponses = body.path("losesAnswers").asBoolean(losesResponses);
    return Reply.ok(Map.of());
  }

  /** Delays each response. */
  public void delay(int millis) {
    delayMillis = millis;
  }

  /** Sets whether the connection is closed after the run and before the response. */
  public void loseResponses(boolean loses) {
    losesResponses = loses;
  }

  private Mono<Void> run(HttpServerRequest request, HttpServerResponse response) {
    String key = request.requestHeaders().get("idempotency-key", "none");
    if (request.requestHeaders().entries().stream().anyMatch(h -> h.getValue().contains("emx_"))
        || request.uri().contains("emx_")) {
      keysSeen.incrementAndGet();
    }
    response.header("x-request-id", request.requestHeaders().get("x-request-id", ""));
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(body -> runAndRespond(key, body, request.uri(), response));
  }

  private Mono<Void> runAndRespond(
      String key, String body, String uri, HttpServerResponse response) {
    long count = runs.computeIfAbsent(key, none -> new AtomicLong()).incrementAndGet();
    Map<String, Object> result = Map.of("run", count, "path", uri, "length", body.length());
    Mono<Void> sent =
        losesResponses ? closeConnection(response) : StandIn.send(response, Reply.ok(result));
    return delayMillis == 0 ? sent : Mono.delay(Duration.ofMillis(delayMillis)).then(sent);
  }

  private static Mono<Void> closeConnection(HttpServerResponse response) {
    return Mono.fromRunnable(() -> response.withConnection(connection -> connection.dispose()));
  }

  /**
   * Returns the number of runs, of distinct idempotency keys, of idempotency keys that ran more
   * than once, and of requests that contained an API key.
   */
  public Map<String, Long> stats() {
    long total = runs.values().stream().mapToLong(AtomicLong::get).sum();
    long duplicates =
        runs.entrySet().stream()
            .filter(run -> !run.getKey().equals("none") && run.getValue().get() > 1)
            .count();
    return Map.of(
        "runs",
        total,
        "distinct",
        (long) runs.size(),
        "doubles",
        duplicates,
        "keysSeen",
        keysSeen.get());
  }

  /** Returns the number of runs of one idempotency key. */
  public long runsOf(String key) {
    return runs.containsKey(key) ? runs.get(key).get() : 0;
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  @Override
  public void close() {
    server.disposeNow();
  }
}
