package org.endivemux.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.RequestId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests to backend servers.
 *
 * <p>Invariants: the library's own retry and redirects are off; a call that can not be repeated
 * goes out on a connection that nobody used before; a connection whose answer was not read to its
 * end is closed; an answer that echoes another request's id is an error. Thread-safe.
 */
final class BackendClient {
  private static final int MAX_CONNECTIONS = 20_000;
  private static final Duration MAX_IDLE = Duration.ofSeconds(5);

  private final HttpClient pooled;
  private final HttpClient fresh;
  private final Limits limits;
  private final Counters counters;

  BackendClient(Limits limits, Counters counters) {
    this.limits = limits;
    this.counters = counters;
    ConnectionProvider pool =
        ConnectionProvider.builder("backend")
            .maxConnections(MAX_CONNECTIONS)
            .maxIdleTime(MAX_IDLE)
            .lifo()
            .build();
    this.pooled = configure(HttpClient.create(pool));
    this.fresh = configure(HttpClient.create(ConnectionProvider.newConnection()));
  }

  private HttpClient configure(HttpClient client) {
    return client
        .disableRetry(true)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.connect().toMillis())
        .option(ChannelOption.TCP_NODELAY, true);
  }

  /** Holds one call to a backend server. Immutable but for {@code left}. */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are handed on, not compared.
  record Call(
      RequestId id,
      BackendServer server,
      HttpMethod method,
      String path,
      HttpHeaders headers,
      byte[] body,
      boolean repeatable,
      Sent left) {}

  /** Tells whether a byte of a call may have left. Thread-safe; it only changes to true. */
  static final class Sent {
    private final AtomicBoolean value = new AtomicBoolean();

    boolean mayHaveLeft() {
      return value.get();
    }

    private void mark() {
      value.set(true);
    }
  }

  /** Holds an answer whose head is here and whose body is not yet read. */
  record Answer(int status, HttpHeaders headers, Flux<byte[]> body) {}

  /** Sends a call and hands its answer to a reader as soon as the head is here. */
  <T> Flux<T> send(Call call, java.util.function.Function<Answer, Flux<T>> reader) {
    HttpClient client = call.repeatable() ? pooled : fresh;
    return client
        .doOnRequest((request, connection) -> call.left().mark())
        .headers(headers -> headers.set(call.headers()).set(Exchange.REQUEST_ID, call.id().value()))
        .responseTimeout(limits.firstByte())
        .request(call.method())
        .uri("http://" + call.server().address() + call.path())
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(call.body())))
        .response(
            (response, content) ->
                checkEcho(call, response)
                    .<Flux<T>>map(Flux::error)
                    .orElseGet(
                        () ->
                            reader.apply(
                                new Answer(
                                    response.status().code(),
                                    response.responseHeaders(),
                                    content.asByteArray().timeout(limits.betweenBytes())))));
  }

  private Optional<CrossedAnswerException> checkEcho(Call call, HttpClientResponse response) {
    return Optional.ofNullable(response.responseHeaders().get(Exchange.REQUEST_ID))
        .filter(echo -> !echo.equals(call.id().value()))
        .map(
            echo -> {
              counters.crossed();
              return new CrossedAnswerException();
            });
  }

  /** Signals an answer that belongs to another request. Immutable. */
  static final class CrossedAnswerException extends RuntimeException {
    CrossedAnswerException() {
      super("The backend server answered another request on this connection.");
    }
  }
}
