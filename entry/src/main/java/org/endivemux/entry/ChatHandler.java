package org.endivemux.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.LongSupplier;
import org.endivemux.control.client.UsageLedger;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.model.Reason;
import org.endivemux.model.UsageTotals;
import org.endivemux.routing.Job;
import org.endivemux.wire.EarlyEnd;
import org.endivemux.wire.sse.SseEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Serves {@code POST /v1/chat/completions}, streamed or buffered. Thread-safe. */
final class ChatHandler {
  private static final String PATH = "/v1/chat/completions";
  private static final SseEvent KEEP_ALIVE = SseEvent.ofText(": keep-alive\n\n");
  private static final double NANOS_PER_MILLI = 1e6;

  private final Admission admission;
  private final AttemptRunner attempts;
  private final BackendClient client;
  private final InFlight inFlight;
  private final UsageLedger usage;
  private final Counters counters;
  private final Limits limits;
  private final LongSupplier nanos;

  ChatHandler(
      Admission admission,
      AttemptRunner attempts,
      BackendClient client,
      InFlight inFlight,
      UsageLedger usage,
      Counters counters,
      Limits limits,
      LongSupplier nanos) {
    this.admission = admission;
    this.attempts = attempts;
    this.client = client;
    this.inFlight = inFlight;
    this.usage = usage;
    this.counters = counters;
    this.limits = limits;
    this.nanos = nanos;
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
              ChatRequest chat = ChatRequest.parse(body);
              UpstreamRequest upstream = upstreamRequest(exchange, caller, chat, body, arrivedAt);
              Mono<Void> withdrawn = inFlight.add(exchange.id(), caller.digest());
              Mono<Void> responded =
                  chat.stream()
                      ? respondStreaming(exchange, upstream, withdrawn)
                      : respondBuffered(exchange, upstream, withdrawn);
              return responded.doFinally(signal -> inFlight.remove(exchange.id()));
            });
  }

  private UpstreamRequest upstreamRequest(
      Exchange exchange, Caller caller, ChatRequest chat, byte[] body, long arrivedAt) {
    var organisation = caller.info().organisation();
    Route route =
        admission
            .route(Route.Type.MODEL, chat.model())
            .getOrElseThrow((Reason reason) -> new RefusedException(reason));
    RequestClass requestClass =
        admission
            .classFor(organisation, route, exchange.header(Admission.CLASS_HEADER))
            .getOrElseThrow((Reason reason) -> new RefusedException(reason));
    Job job =
        new Job(
            exchange.id(),
            organisation,
            requestClass.name(),
            route.name(),
            true,
            arrivedAt,
            chat.promptTokens(),
            chat.prefix());
    return new UpstreamRequest(
        job,
        route,
        requestClass,
        HttpMethod.POST,
        PATH,
        UpstreamHeaders.of(exchange.request().requestHeaders(), organisation, requestClass),
        body);
  }

  private Mono<Void> respondStreaming(
      Exchange exchange, UpstreamRequest upstream, Mono<Void> withdrawn) {
    ChatStream stream = new ChatStream(upstream, client, counters);
    Flux<SseEvent> events =
        EarlyEnd.failOn(attempts.run(upstream, stream::send), withdrawal(withdrawn));
    return events
        .switchOnFirst(
            (first, all) ->
                first.hasValue()
                    ? relay(exchange, upstream, all)
                    : all.thenMany(Flux.<Void>empty()))
        .then()
        .doFinally(signal -> recordUsage(upstream, stream.tokens()));
  }

  private static Mono<RefusedException> withdrawal(Mono<Void> withdrawn) {
    return withdrawn.then(
        Mono.fromSupplier(() -> new RefusedException(Reason.KEY_WITHDRAWN_IN_STREAM)));
  }

  private Mono<Void> relay(Exchange exchange, UpstreamRequest upstream, Flux<SseEvent> events) {
    recordLatency(upstream);
    Flux<SseEvent> withKeepAlive =
        events
            .publish(
                shared ->
                    Flux.merge(
                        shared,
                        Flux.interval(limits.keepAlive())
                            .onBackpressureDrop()
                            .map(tick -> KEEP_ALIVE)
                            .takeUntilOther(shared.ignoreElements().onErrorComplete())))
            .onErrorResume(
                error -> Flux.just(errorEvent(exchange, error)).concatWith(Flux.error(error)));
    Flux<ByteBuf> buffers = withKeepAlive.map(event -> Unpooled.wrappedBuffer(event.raw()));
    exchange.response().status(HttpResponseStatus.OK);
    exchange.response().header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    exchange.response().header(HttpHeaderNames.CACHE_CONTROL, "no-cache");
    return exchange.response().send(buffers, buffer -> true).then();
  }

  private static SseEvent errorEvent(Exchange exchange, Throwable error) {
    RefusedException refused =
        error instanceof RefusedException known ? known : new RefusedException(Reason.INTERNAL);
    String json =
        new String(
            Json.write(ErrorBody.of(refused, exchange.id())),
            java.nio.charset.StandardCharsets.UTF_8);
    return SseEvent.ofText("event: error\ndata: " + json + "\n\n");
  }

  private Mono<Void> respondBuffered(
      Exchange exchange, UpstreamRequest upstream, Mono<Void> withdrawn) {
    Flux<BufferedResponse> responses =
        attempts.run(
            upstream,
            (assignment, attempt) -> BufferedResponse.send(client, upstream, assignment, attempt));
    return EarlyEnd.failOn(responses, withdrawal(withdrawn))
        .next()
        .flatMap(response -> respond(exchange, upstream, response));
  }

  private Mono<Void> respond(
      Exchange exchange, UpstreamRequest upstream, BufferedResponse response) {
    recordLatency(upstream);
    if (response.isOk()) {
      recordUsage(upstream, CompletionUsage.tokensOf(response.body()));
    }
    UpstreamHeaders.copyReturned(response.headers(), exchange.response().responseHeaders());
    String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "application/json");
    return exchange.bytes(response.status(), contentType, response.body());
  }

  private void recordLatency(UpstreamRequest upstream) {
    long took = nanos.getAsLong() - upstream.job().arrivedAt();
    boolean onTime = took <= upstream.requestClass().targetMillis() * NANOS_PER_MILLI;
    counters.responded(upstream.requestClass().name(), took, onTime);
  }

  private void recordUsage(UpstreamRequest upstream, int tokens) {
    counters.delivered(tokens);
    usage.add(
        upstream.job().organisation(),
        upstream.requestClass().name(),
        new UsageTotals(1, upstream.job().promptTokens(), tokens));
  }
}
