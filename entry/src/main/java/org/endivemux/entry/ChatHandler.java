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
import org.endivemux.wire.sse.SseEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Answers {@code POST /v1/chat/completions}, streamed and not. Thread-safe. */
final class ChatHandler {
  private static final String PATH = "/v1/chat/completions";
  private static final SseEvent KEEP_ALIVE = SseEvent.ofText(": keep-alive\n\n");
  private static final double NANOS_PER_MILLI = 1e6;

  private final Admission admission;
  private final Tries tries;
  private final BackendClient client;
  private final InFlight inFlight;
  private final UsageLedger usage;
  private final Counters counters;
  private final Limits limits;
  private final LongSupplier nanos;

  ChatHandler(
      Admission admission,
      Tries tries,
      BackendClient client,
      InFlight inFlight,
      UsageLedger usage,
      Counters counters,
      Limits limits,
      LongSupplier nanos) {
    this.admission = admission;
    this.tries = tries;
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
              Work work = work(exchange, caller, chat, body, arrivedAt);
              Mono<Void> withdrawn = inFlight.add(exchange.id(), caller.digest());
              Mono<Void> answer =
                  chat.stream()
                      ? stream(exchange, work, withdrawn)
                      : whole(exchange, work, withdrawn);
              return answer.doFinally(signal -> inFlight.remove(exchange.id()));
            });
  }

  private Work work(
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
    return new Work(
        job,
        route,
        requestClass,
        HttpMethod.POST,
        PATH,
        UpstreamHeaders.of(exchange.request().requestHeaders(), organisation, requestClass),
        body);
  }

  private Mono<Void> stream(Exchange exchange, Work work, Mono<Void> withdrawn) {
    ChatStream stream = new ChatStream(work, client, counters);
    Flux<SseEvent> events =
        tries.run(work, stream::send).takeUntilOther(endWhenWithdrawn(withdrawn));
    return events
        .switchOnFirst(
            (first, all) ->
                first.hasValue() ? relay(exchange, work, all) : all.thenMany(Flux.<Void>empty()))
        .then()
        .doFinally(signal -> account(work, stream.tokens()));
  }

  private static <T> Mono<T> endWhenWithdrawn(Mono<Void> withdrawn) {
    return withdrawn.then(Mono.error(() -> new RefusedException(Reason.KEY_WITHDRAWN_IN_STREAM)));
  }

  private Mono<Void> relay(Exchange exchange, Work work, Flux<SseEvent> events) {
    answered(work);
    Flux<SseEvent> alive =
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
    Flux<ByteBuf> buffers = alive.map(event -> Unpooled.wrappedBuffer(event.raw()));
    exchange.response().status(HttpResponseStatus.OK);
    exchange.response().header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    exchange.response().header(HttpHeaderNames.CACHE_CONTROL, "no-cache");
    return exchange.response().send(buffers, buffer -> true).then();
  }

  private static SseEvent errorEvent(Exchange exchange, Throwable error) {
    RefusedException refused =
        error instanceof RefusedException it ? it : new RefusedException(Reason.INTERNAL);
    String json =
        new String(
            Json.write(ErrorBody.of(refused, exchange.id())),
            java.nio.charset.StandardCharsets.UTF_8);
    return SseEvent.ofText("event: error\ndata: " + json + "\n\n");
  }

  private Mono<Void> whole(Exchange exchange, Work work, Mono<Void> withdrawn) {
    return tries
        .run(work, (assignment, oneTry) -> WholeAnswer.send(client, work, assignment, oneTry))
        .takeUntilOther(endWhenWithdrawn(withdrawn))
        .next()
        .flatMap(answer -> respond(exchange, work, answer));
  }

  private Mono<Void> respond(Exchange exchange, Work work, WholeAnswer answer) {
    answered(work);
    if (answer.isOk()) {
      account(work, CompletionUsage.tokensOf(answer.body()));
    }
    UpstreamHeaders.copyReturned(answer.headers(), exchange.response().responseHeaders());
    String contentType = answer.headers().get(HttpHeaderNames.CONTENT_TYPE, "application/json");
    return exchange.bytes(answer.status(), contentType, answer.body());
  }

  private void answered(Work work) {
    long took = nanos.getAsLong() - work.job().arrivedAt();
    boolean onTime = took <= work.requestClass().targetMillis() * NANOS_PER_MILLI;
    counters.answered(work.requestClass().name(), took, onTime);
  }

  private void account(Work work, int tokens) {
    counters.delivered(tokens);
    usage.add(
        work.job().organisation(),
        work.requestClass().name(),
        new UsageTotals(1, work.job().promptTokens(), tokens));
  }
}
