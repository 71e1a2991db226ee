package org.endivemux.testing;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.endivemux.testing.StandIn.Reply;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Stands in for a model engine.
 *
 * <p>It runs requests concurrently in a limited number of slots, by priority, and generates {@code
 * max_tokens} tokens "w1 w2 …" with their positions as event ids, starting after {@code
 * Last-Event-ID}. It stops when the caller disconnects, caches prompt prefixes in limited memory,
 * reports its load with a delay and counts what it receives. {@code POST /fault} injects faults.
 * Thread-safe.
 */
public final class Engine implements AutoCloseable {
  private static final Duration DRIP_INTERVAL = Duration.ofMillis(100);

  /** Stands for a token that an engine begins to send and never finishes. */
  private static final int DRIPPED = -1;

  private static final int DEFAULT_TOKENS = 16;
  private static final int MAX_PREFIX_CHARACTERS = 512;
  private static final int CHARACTERS_PER_TOKEN = 4;

  private final EngineSettings settings;
  private final Slots slots;
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong tokensGenerated = new AtomicLong();
  private final AtomicLong keysSeen = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();
  private final AtomicLong cacheHits = new AtomicLong();
  private final Deque<Map<String, Integer>> loadReports = new ArrayDeque<>();
  private final Map<String, Boolean> cachedPrefixes;
  private final Map<Long, String> orders = new LinkedHashMap<>();
  private final DisposableServer server;
  private final Disposable loadReporting;
  private volatile double slowness = 1;
  private volatile int breakAfterTokens = Integer.MAX_VALUE;
  private volatile int muteAfterTokens = Integer.MAX_VALUE;
  private volatile boolean dripping;
  private volatile String echoedId = "";
  private long highestFencing;

  public Engine(int port, EngineSettings settings) {
    this.settings = settings;
    this.slots = new Slots(settings.slots());
    this.cachedPrefixes =
        Collections.synchronizedMap(
            new LinkedHashMap<>(16, 0.75f, true) {
              @Override
              protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > settings.cachedPrefixes();
              }
            });
    this.server = StandIn.serve(port, this::routes);
    this.loadReporting =
        Flux.interval(Duration.ofMillis(Math.max(1, settings.reportLagMillis())))
            .onBackpressureDrop()
            .subscribe(tick -> recordLoad());
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/v1/chat/completions", this::complete)
        .get("/load", StandIn.json((request, body) -> Reply.ok(delayedLoad())))
        .get("/stats", StandIn.json((request, body) -> Reply.ok(stats())))
        .post("/orders", StandIn.json((request, body) -> order(body)))
        .post("/fault", StandIn.json((request, body) -> fault(body)));
  }

  private synchronized void recordLoad() {
    loadReports.addLast(Map.of("running", slots.used(), "waiting", slots.waiting()));
    while (loadReports.size() > 2) {
      loadReports.removeFirst();
    }
  }

  private synchronized Map<String, Integer> delayedLoad() {
    return loadReports.isEmpty() ? Map.of("running", 0, "waiting", 0) : loadReports.getFirst();
  }

  /** Returns the counters of this engine. */
  public Map<String, Long> stats() {
    return Map.of(
        "requests", requests.get(),
        "tokens", tokensGenerated.get(),
        "keysSeen", keysSeen.get(),
        "cancelled", cancelled.get(),
        "cacheHits", cacheHits.get(),
        "running", (long) slots.used());
  }

  private synchronized Reply order(JsonNode body) {
    long fencing = body.path("fencing").asLong();
    if (settings.checksFencing() && fencing < highestFencing) {
      return new Reply(409, Map.of("highest", highestFencing));
    }
    highestFencing = Math.max(highestFencing, fencing);
    orders.put(fencing, body.path("order").asText());
    return Reply.ok(Map.of("accepted", true));
  }

  /**
   * Sets the faults slowness, breakAfterTokens, muteAfterTokens and echo; absent ones are
   * unchanged.
   */
  private Reply fault(JsonNode body) {
    slowness = body.path("slowness").asDouble(slowness);
    breakAfterTokens = body.path("breakAfterTokens").asInt(breakAfterTokens);
    muteAfterTokens = body.path("muteAfterTokens").asInt(muteAfterTokens);
    echoedId = body.path("echo").asText(echoedId);
    return Reply.ok(Map.of());
  }

  /** Multiplies the time of each step by a factor. */
  public void slowDown(double factor) {
    slowness = factor;
  }

  /** Breaks each response after the given number of tokens per attempt. */
  public void breakAfter(int tokens) {
    breakAfterTokens = tokens;
  }

  /** Stops sending, with the connection open, after the given number of tokens per attempt. */
  public void muteAfter(int tokens) {
    muteAfterTokens = tokens;
  }

  /**
   * Stalls each streamed response after the given number of tokens; from then on it sends single
   * bytes that never make up an event.
   */
  public void dripAfter(int tokens) {
    muteAfterTokens = tokens;
    dripping = true;
  }

  /** Responds with the given request id instead of the request's own. */
  public void echoWrongId(String id) {
    echoedId = id;
  }

  private Mono<Void> complete(HttpServerRequest request, HttpServerResponse response) {
    requests.incrementAndGet();
    String id = request.requestHeaders().get("x-request-id", "");
    response.header("x-request-id", echoedId.isEmpty() ? id : echoedId);
    return request
        .receive()
        .aggregate()
        .asString()
        .flatMap(
            text -> {
              countLeakedKey(request, text);
              return respond(request, response, StandIn.parse(text));
            });
  }

  private void countLeakedKey(HttpServerRequest request, String body) {
    boolean inHeaders =
        request.requestHeaders().entries().stream().anyMatch(h -> h.getValue().contains("emx_"));
    if (inHeaders || body.contains("emx_") || request.uri().contains("emx_")) {
      keysSeen.incrementAndGet();
    }
  }

  private Mono<Void> respond(
      HttpServerRequest request, HttpServerResponse response, JsonNode body) {
    int total = body.path("max_tokens").asInt(DEFAULT_TOKENS);
    int from = request.requestHeaders().getInt("last-event-id", 0);
    int priority = request.requestHeaders().getInt("x-priority", 0);
    Flux<Integer> tokens =
        Flux.usingWhen(
            slots.acquire(priority),
            slot -> prefill(body, from).thenMany(generate(from, total)),
            slot -> Mono.fromRunnable(slots::release),
            (slot, error) -> Mono.fromRunnable(slots::release),
            slot -> Mono.fromRunnable(this::releaseCancelled));
    return body.path("stream").asBoolean()
        ? respondStreaming(response, tokens)
        : respondBuffered(response, body, tokens);
  }

  private void releaseCancelled() {
    cancelled.incrementAndGet();
    slots.release();
  }

  private Mono<Void> prefill(JsonNode body, int from) {
    String prompt = body.path("messages").toString();
    String prefix = prompt.substring(0, Math.min(prompt.length(), MAX_PREFIX_CHARACTERS));
    boolean cached = cachedPrefixes.put(prefix, true) != null;
    cacheHits.addAndGet(cached ? 1 : 0);
    int length = prompt.length() - (cached ? prefix.length() : 0);
    long micros =
        (long) ((length / CHARACTERS_PER_TOKEN + from) * settings.promptTokenMicros() * slowness);
    return delay(micros);
  }

  private Flux<Integer> generate(int from, int total) {
    return Flux.range(from + 1, Math.max(0, total - from))
        .concatMap(position -> token(position, position - from), 1);
  }

  private Mono<Integer> token(int position, int tokenOfAttempt) {
    if (tokenOfAttempt > breakAfterTokens) {
      return Mono.error(
          new IllegalStateException("Injected fault: the engine breaks the response here."));
    }
    if (tokenOfAttempt > muteAfterTokens) {
      return dripping ? Mono.just(DRIPPED) : Mono.never();
    }
    long micros = (long) (settings.tokenMicros() * slowness * (1 + slots.load()));
    return delay(micros)
        .then(
            Mono.fromSupplier(
                () -> {
                  tokensGenerated.incrementAndGet();
                  return position;
                }));
  }

  private static Mono<Void> delay(long micros) {
    return micros == 0 ? Mono.empty() : Mono.delay(Duration.ofNanos(micros * 1000)).then();
  }

  private Mono<Void> respondStreaming(HttpServerResponse response, Flux<Integer> tokens) {
    Flux<String> events =
        tokens
            .concatMap(position -> position == DRIPPED ? drip() : Flux.just(event(position)), 1)
            .concatWith(Mono.just("data: [DONE]\n\n"));
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        .send(events.map(Engine::buffer), buffer -> true)
        .then();
  }

  private static String event(int position) {
    return "id: "
        + position
        + "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w"
        + position
        + " \"}}]}\n\n";
  }

  private static Flux<String> drip() {
    return Flux.interval(DRIP_INTERVAL).map(tick -> "x");
  }

  private static ByteBuf buffer(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
  }

  private Mono<Void> respondBuffered(
      HttpServerResponse response, JsonNode body, Flux<Integer> tokens) {
    return tokens
        .collectList()
        .flatMap(list -> StandIn.send(response, Reply.ok(completion(body, list.size()))));
  }

  private static Map<String, Object> completion(JsonNode body, int tokens) {
    String content =
        IntStream.rangeClosed(1, tokens).mapToObj(i -> "w" + i).collect(Collectors.joining(" "));
    return Map.of(
        "model",
        body.path("model").asText(),
        "choices",
        List.of(Map.of("index", 0, "message", Map.of("role", "assistant", "content", content))),
        "usage",
        Map.of("completion_tokens", tokens));
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  @Override
  public void close() {
    loadReporting.dispose();
    server.disposeNow();
  }
}
