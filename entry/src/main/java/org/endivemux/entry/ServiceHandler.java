package org.endivemux.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;
import org.endivemux.control.client.UsageLedger;
import org.endivemux.control.state.ClaimOwner;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.IdempotencyTime;
import org.endivemux.model.Incarnation;
import org.endivemux.model.Keys;
import org.endivemux.model.Reason;
import org.endivemux.model.UsageTotals;
import org.endivemux.model.VmId;
import org.endivemux.routing.Job;
import reactor.core.publisher.Mono;

/**
 * Serves {@code /services/{name}/…} by forwarding the request to a plain service.
 *
 * <p>Invariant: a call to a service whose calls are not repeatable runs through {@link AtMostOnce},
 * unless its HTTP method is safe. Thread-safe.
 */
final class ServiceHandler {
  static final String PREFIX = "/services/";
  private static final String IDEMPOTENCY_KEY = "idempotency-key";
  private static final double NANOS_PER_MILLI = 1e6;

  private final Admission admission;
  private final AttemptRunner attempts;
  private final AtMostOnce atMostOnce;
  private final BackendClient client;
  private final InFlight inFlight;
  private final UsageLedger usage;
  private final Counters counters;
  private final Limits limits;
  private final LongSupplier nanos;
  private final VmId vm;
  private final Incarnation incarnation;

  ServiceHandler(
      Admission admission,
      AttemptRunner attempts,
      AtMostOnce atMostOnce,
      BackendClient client,
      InFlight inFlight,
      UsageLedger usage,
      Counters counters,
      Limits limits,
      LongSupplier nanos,
      VmId vm,
      Incarnation incarnation) {
    this.admission = admission;
    this.attempts = attempts;
    this.atMostOnce = atMostOnce;
    this.client = client;
    this.inFlight = inFlight;
    this.usage = usage;
    this.counters = counters;
    this.limits = limits;
    this.nanos = nanos;
    this.vm = vm;
    this.incarnation = incarnation;
  }

  Mono<Void> handle(Exchange exchange) {
    long arrivedAt = nanos.getAsLong();
    return admission.caller(exchange).flatMap(caller -> handle(exchange, caller, arrivedAt));
  }

  private Mono<Void> handle(Exchange exchange, Caller caller, long arrivedAt) {
    return exchange
        .body(limits.bodyBytes())
        .flatMap(
            body -> {
              UpstreamRequest upstream = upstreamRequest(exchange, caller, body, arrivedAt);
              var unused = inFlight.add(exchange.id(), caller.digest());
              return run(exchange, upstream)
                  .flatMap(response -> respond(exchange, upstream, response))
                  .doFinally(signal -> inFlight.remove(exchange.id()));
            });
  }

  private UpstreamRequest upstreamRequest(
      Exchange exchange, Caller caller, byte[] body, long arrivedAt) {
    var organisation = caller.info().organisation();
    Route route =
        admission
            .route(Route.Type.SERVICE, serviceName(exchange))
            .getOrElseThrow((Reason reason) -> new RefusedException(reason));
    RequestClass requestClass =
        admission
            .classFor(organisation, route, exchange.header(Admission.CLASS_HEADER))
            .getOrElseThrow((Reason reason) -> new RefusedException(reason));
    boolean repeatable = route.repeatable() || isSafe(exchange);
    Job job =
        new Job(
            exchange.id(),
            organisation,
            requestClass.name(),
            route.name(),
            repeatable,
            arrivedAt,
            0,
            0);
    return new UpstreamRequest(
        job,
        route,
        requestClass,
        exchange.request().method(),
        exchange.request().uri().substring(PREFIX.length() + route.name().length()),
        UpstreamHeaders.of(exchange.request().requestHeaders(), organisation, requestClass),
        body);
  }

  private static String serviceName(Exchange exchange) {
    String rest = exchange.request().uri().substring(PREFIX.length());
    int slash = rest.indexOf('/');
    if (slash <= 0) {
      throw new RefusedException(Reason.UNKNOWN_SERVICE);
    }
    return rest.substring(0, slash);
  }

  private static boolean isSafe(Exchange exchange) {
    String method = exchange.request().method().name();
    return method.equals("GET") || method.equals("HEAD") || method.equals("OPTIONS");
  }

  private Mono<BufferedResponse> run(Exchange exchange, UpstreamRequest upstream) {
    return upstream.job().repeatable()
        ? attempts
            .run(
                upstream,
                (assignment, attempt) ->
                    BufferedResponse.send(client, upstream, assignment, attempt))
            .next()
        : atMostOnce.run(call(exchange, upstream), upstream);
  }

  private AtMostOnce.Call call(Exchange exchange, UpstreamRequest upstream) {
    return new AtMostOnce.Call(
        upstream.job().organisation(),
        idempotencyKey(exchange),
        requestDigest(upstream),
        new ClaimOwner(vm, incarnation, upstream.job().id()));
  }

  private static IdempotencyKey idempotencyKey(Exchange exchange) {
    String text =
        exchange
            .header(IDEMPOTENCY_KEY)
            .orElseThrow(() -> new RefusedException(Reason.NO_IDEMPOTENCY_KEY));
    return parseKey(text);
  }

  static IdempotencyKey parseKey(String text) {
    try {
      IdempotencyKey key = new IdempotencyKey(text.strip());
      if (IdempotencyTime.millis(key).isPresent()) {
        return key;
      }
    } catch (IllegalArgumentException e) {
      throw new RefusedException(Reason.IDEMPOTENCY_KEY_MALFORMED);
    }
    throw new RefusedException(Reason.IDEMPOTENCY_KEY_MALFORMED);
  }

  private static String requestDigest(UpstreamRequest upstream) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String head = upstream.method().name() + " " + upstream.route().name() + upstream.path() + "\n";
    out.writeBytes(head.getBytes(StandardCharsets.UTF_8));
    out.writeBytes(upstream.body());
    return Keys.sha256(out.toByteArray());
  }

  private Mono<Void> respond(
      Exchange exchange, UpstreamRequest upstream, BufferedResponse response) {
    long took = nanos.getAsLong() - upstream.job().arrivedAt();
    boolean onTime = took <= upstream.requestClass().targetMillis() * NANOS_PER_MILLI;
    counters.responded(upstream.requestClass().name(), took, onTime);
    usage.add(
        upstream.job().organisation(), upstream.requestClass().name(), new UsageTotals(1, 0, 0));
    UpstreamHeaders.copyReturned(response.headers(), exchange.response().responseHeaders());
    if (response.headers().contains("idempotent-replayed")) {
      exchange.response().header("idempotent-replayed", "true");
    }
    String contentType =
        response.headers().get(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
    return exchange.bytes(response.status(), contentType, response.body());
  }
}
