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
 * Stands in for a plain service, such as a till or a booking desk.
 *
 * <p>Counts each run of each idempotency key, so that a double is seen. {@code POST /fault} sets a
 * delay and answers that get lost after the run. Thread-safe.
 */
public final class PlainService implements AutoCloseable {
  private final Map<String, AtomicLong> runs = new ConcurrentHashMap<>();
  private final AtomicLong keysSeen = new AtomicLong();
  private final DisposableServer server;
  private volatile int delayMillis;
  private volatile boolean losesAnswers;

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
    losesAnswers = body.path("losesAnswers").asBoolean(losesAnswers);
    return Reply.ok(Map.of());
  }

  /** Answers later. */
  public void delay(int millis) {
    delayMillis = millis;
  }

  /** Runs calls but breaks the connection before the answer. */
  public void loseResponses(boolean loses) {
    losesAnswers = loses;
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
        .flatMap(body -> runOnce(key, body, request.uri(), response));
  }

  private Mono<Void> runOnce(String key, String body, String uri, HttpServerResponse response) {
    long count = runs.computeIfAbsent(key, none -> new AtomicLong()).incrementAndGet();
    Map<String, Object> answer = Map.of("run", count, "path", uri, "length", body.length());
    Mono<Void> sent =
        losesAnswers ? breakConnection(response) : StandIn.send(response, Reply.ok(answer));
    return delayMillis == 0 ? sent : Mono.delay(Duration.ofMillis(delayMillis)).then(sent);
  }

  private static Mono<Void> breakConnection(HttpServerResponse response) {
    return Mono.fromRunnable(() -> response.withConnection(connection -> connection.dispose()));
  }

  /** Returns runs, distinct keys, keys that ran more than once, and callers' keys seen. */
  public Map<String, Long> stats() {
    long total = runs.values().stream().mapToLong(AtomicLong::get).sum();
    long doubles =
        runs.entrySet().stream()
            .filter(run -> !run.getKey().equals("none") && run.getValue().get() > 1)
            .count();
    return Map.of(
        "runs",
        total,
        "distinct",
        (long) runs.size(),
        "doubles",
        doubles,
        "keysSeen",
        keysSeen.get());
  }

  /** Returns how often one key ran. */
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
