package org.endivemux.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.Optional;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.RequestId;
import org.endivemux.wire.FirstByteTimeout;
import org.endivemux.wire.SendGate;
import org.endivemux.wire.SendMarker;
import org.endivemux.wire.http.ExchangeCodec;
import org.endivemux.wire.http.FaultLog;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests to backend servers.
 *
 * <p>Invariants: the HTTP library's own retries and redirects are disabled; a non-repeatable call
 * uses a new connection; a connection whose response was not read completely is closed; bytes that
 * belong to no call in progress are dropped; a response to another request on a new connection is
 * an error. Thread-safe.
 */
final class BackendClient {
  private static final int MAX_CONNECTIONS = 20_000;
  private static final Duration MAX_IDLE = Duration.ofSeconds(5);

  private final HttpClient pooled;
  private final HttpClient unpooled;
  private final Limits limits;
  private final Counters counters;

  BackendClient(Limits limits, Counters counters) {
    this.limits = limits;
    this.counters = counters;
    FaultLog faultLog = new FaultLog("", counters::strayBytes, counters::responseFault);
    ConnectionProvider pool =
        ConnectionProvider.builder("backend")
            .maxConnections(MAX_CONNECTIONS)
            .maxIdleTime(MAX_IDLE)
            .lifo()
            .build();
    this.pooled = configure(HttpClient.create(pool), faultLog);
    this.unpooled = configure(HttpClient.create(ConnectionProvider.newConnection()), faultLog);
  }

  private HttpClient configure(HttpClient client, FaultLog faultLog) {
    return ExchangeCodec.install(client, Exchange.REQUEST_ID, faultLog)
        .disableRetry(true)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.connect().toMillis())
        .option(ChannelOption.TCP_NODELAY, true);
  }

  /** Holds one call to a backend server. Immutable except for {@code sendMarker}. */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are passed on, never compared.
  record Call(
      RequestId id,
      BackendServer server,
      HttpMethod method,
      String path,
      HttpHeaders headers,
      byte[] body,
      boolean repeatable,
      SendMarker sendMarker) {}

  /**
   * Holds a response whose headers have been received and whose body has not been read yet.
   *
   * @param maxPause longest time without progress; readers of streams count whole events as
   *     progress, since a stalled server may still send single bytes
   */
  record Response(int status, HttpHeaders headers, Flux<byte[]> body, Duration maxPause) {}

  /** Sends a call and passes the response to a reader once its headers have arrived. */
  <T> Flux<T> send(Call call, java.util.function.Function<Response, Flux<T>> reader) {
    HttpClient client = call.repeatable() ? pooled : unpooled;
    return client
        .doOnRequest((request, connection) -> SendGate.check(call.sendMarker(), connection))
        .doAfterRequest(
            (request, connection) -> FirstByteTimeout.start(connection, limits.firstByte()))
        .doOnResponse((response, connection) -> FirstByteTimeout.end(connection))
        .headers(headers -> headers.set(call.headers()).set(Exchange.REQUEST_ID, call.id().value()))
        .request(call.method())
        .uri("http://" + call.server().address() + call.path())
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(call.body())))
        .response(
            (response, content) ->
                isForCall(response, call)
                    ? reader.apply(
                        new Response(
                            response.status().code(),
                            response.responseHeaders(),
                            content.asByteArray(),
                            limits.betweenBytes()))
                    : mismatch());
  }

  /** A response without an id is accepted where no other request can have caused it. */
  private static boolean isForCall(HttpClientResponse response, Call call) {
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return false;
    }
    Optional<String> named =
        Optional.ofNullable(response.responseHeaders().get(Exchange.REQUEST_ID));
    return named.map(call.id().value()::equals).orElse(true);
  }

  private <T> Flux<T> mismatch() {
    counters.mismatchedResponse();
    return Flux.error(new MismatchedResponseException());
  }

  /** Signals a response that belongs to another request. Immutable. */
  static final class MismatchedResponseException extends RuntimeException {
    MismatchedResponseException() {
      super("The backend server's response belongs to another request.");
    }
  }
}
