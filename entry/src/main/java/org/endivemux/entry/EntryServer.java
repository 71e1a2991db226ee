package org.endivemux.entry;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.endivemux.model.Incarnation;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.VmId;
import org.endivemux.wire.RequestFraming;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves callers and operators over HTTP.
 *
 * <p>Invariant: a request that matches no route is refused, and nothing is sent to a backend
 * server. Thread-safe.
 */
public final class EntryServer {
  private static final String PLANS = "/v1/plans";
  private static final String DOMAINS = "/v1/failure-domains/";
  private static final String EVACUATION = "/evacuation";
  private static final String KEYS = "/v1/keys";
  private static final String OUTCOMES = "/v1/outcomes/";
  private static final String CONFIRM = "/confirm";
  private static final String TEXT = "text/plain; version=0.0.4";

  /**
   * The HTTP library's limit is a multiple of the configured one, so that requests over the limit
   * reach the entry, which refuses them with a reason.
   */
  private static final int LIBRARY_LIMIT_FACTOR = 8;

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final EntryParts parts;
  private final AtomicLong requests = new AtomicLong();
  private final String idPrefix;

  EntryServer(EntryParts parts, VmId vm, Incarnation incarnation) {
    this.parts = parts;
    this.idPrefix = vm + "-" + incarnation + "-";
  }

  /** Starts the listener; throws {@code ChannelBindException} when the port is in use. */
  public DisposableServer start(InetSocketAddress address) {
    return RequestFraming.install(HttpServer.create())
        .bindAddress(() -> address)
        .httpRequestDecoder(
            spec ->
                spec.maxInitialLineLength(LIBRARY_LIMIT_FACTOR * parts.limits().headerBytes())
                    .maxHeaderSize(LIBRARY_LIMIT_FACTOR * parts.limits().headerBytes()))
        .handle(this::handle)
        .bindNow(Duration.ofSeconds(10));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    RequestId id = new RequestId(idPrefix + requests.incrementAndGet());
    Exchange exchange = new Exchange(request, response, id, parts.counters());
    return Mono.defer(() -> checkHeaders(request).then(Mono.defer(() -> route(exchange))))
        .onErrorResume(exchange::refuse);
  }

  private Mono<Void> checkHeaders(HttpServerRequest request) {
    int bytes =
        request.requestHeaders().entries().stream()
            .mapToInt(header -> header.getKey().length() + header.getValue().length())
            .sum();
    return bytes + request.uri().length() > parts.limits().headerBytes()
        ? Mono.error(new RefusedException(Reason.HEADERS_TOO_LARGE))
        : Mono.empty();
  }

  private Mono<Void> route(Exchange exchange) {
    String path = pathOf(exchange.request());
    HttpMethod method = exchange.request().method();
    if (path.equals("/v1/chat/completions")) {
      return withMethod(HttpMethod.POST, method, exchange, parts.chat()::handle);
    } else if (path.startsWith(ServiceHandler.PREFIX)) {
      return parts.services().handle(exchange);
    } else if (path.equals("/v1/entries")) {
      return withMethod(HttpMethod.GET, method, exchange, parts.entries()::handle);
    } else if (path.startsWith(OUTCOMES)) {
      String key = path.substring(OUTCOMES.length());
      return withMethod(
          HttpMethod.GET, method, exchange, taken -> parts.operators().outcome(taken, key));
    }
    return routeOperators(exchange, path, method);
  }

  private Mono<Void> routeOperators(Exchange exchange, String path, HttpMethod method) {
    OperatorHandler operators = parts.operators();
    if (path.equals(PLANS)) {
      return withMethod(HttpMethod.POST, method, exchange, operators::plan);
    } else if (path.startsWith(PLANS + "/") && path.endsWith(CONFIRM)) {
      String plan = path.substring(PLANS.length() + 1, path.length() - CONFIRM.length());
      return withMethod(HttpMethod.POST, method, exchange, taken -> operators.confirm(taken, plan));
    } else if (path.equals(KEYS)) {
      return withMethod(HttpMethod.POST, method, exchange, operators::createKey);
    } else if (path.startsWith(KEYS + "/")) {
      String key = path.substring(KEYS.length() + 1);
      return withMethod(
          HttpMethod.DELETE, method, exchange, taken -> operators.withdrawKey(taken, key));
    } else if (path.equals("/v1/status")) {
      return withMethod(HttpMethod.GET, method, exchange, operators::status);
    } else if (path.equals("/v1/usage")) {
      return withMethod(HttpMethod.GET, method, exchange, operators::usage);
    } else if (path.equals("/v1/backends/leaving")) {
      return withMethod(HttpMethod.POST, method, exchange, operators::setLeaving);
    } else if (path.startsWith(DOMAINS) && path.endsWith(EVACUATION)) {
      return evacuation(exchange, path, method);
    }
    return path.equals("/v1/drain")
        ? withMethod(HttpMethod.POST, method, exchange, operators::drain)
        : routeHealth(exchange, path, method);
  }

  private Mono<Void> evacuation(Exchange exchange, String path, HttpMethod method) {
    int end = Math.max(DOMAINS.length(), path.length() - EVACUATION.length());
    String domain = path.substring(DOMAINS.length(), end);
    boolean starts = method.equals(HttpMethod.POST);
    return withMethod(
        starts ? HttpMethod.POST : HttpMethod.DELETE,
        method,
        exchange,
        taken -> parts.operators().evacuate(taken, domain, starts));
  }

  private Mono<Void> routeHealth(Exchange exchange, String path, HttpMethod method) {
    return switch (path) {
      case "/metrics" ->
          withMethod(
              HttpMethod.GET,
              method,
              exchange,
              taken -> text(taken, OK, MetricsText.of(parts.counters().registry())));
      case "/healthz" ->
          withMethod(HttpMethod.GET, method, exchange, taken -> text(taken, OK, "alive\n"));
      case "/readyz" -> withMethod(HttpMethod.GET, method, exchange, this::ready);
      default -> Mono.error(new RefusedException(Reason.UNKNOWN_ROUTE));
    };
  }

  private static Mono<Void> withMethod(
      HttpMethod allowed,
      HttpMethod method,
      Exchange exchange,
      Function<Exchange, Mono<Void>> handler) {
    return method.equals(allowed)
        ? handler.apply(exchange)
        : Mono.error(new RefusedException(Reason.METHOD_NOT_ALLOWED));
  }

  private Mono<Void> ready(Exchange exchange) {
    Optional<Reason> closed = parts.admission().closedReason();
    return text(
        exchange,
        closed.isPresent() ? UNAVAILABLE : OK,
        closed.map(reason -> reason + ": " + reason.summary()).orElse("ready") + "\n");
  }

  private static Mono<Void> text(Exchange exchange, int status, String text) {
    return exchange.bytes(status, TEXT, text.getBytes(StandardCharsets.UTF_8));
  }

  private static String pathOf(HttpServerRequest request) {
    String uri = request.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
