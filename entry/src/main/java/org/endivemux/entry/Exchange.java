package org.endivemux.entry;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.wire.BoundedBytes;
import org.endivemux.wire.RequestFraming;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Holds one request of a caller and its response.
 *
 * <p>Invariant: every response carries the request's id. Confined to one event loop.
 */
final class Exchange {
  static final String REQUEST_ID = "x-request-id";
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String JSON = "application/json";

  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final RequestId id;
  private final Counters counters;

  Exchange(
      HttpServerRequest request, HttpServerResponse response, RequestId id, Counters counters) {
    this.request = request;
    this.response = response;
    this.id = id;
    this.counters = counters;
    response.header(REQUEST_ID, id.value());
  }

  HttpServerRequest request() {
    return request;
  }

  HttpServerResponse response() {
    return response;
  }

  RequestId id() {
    return id;
  }

  Optional<String> header(String name) {
    return Optional.ofNullable(request.requestHeaders().get(name));
  }

  /** Reads the body; fails with a refusal if it exceeds the limit. */
  Mono<byte[]> body(int limit) {
    return BoundedBytes.collectOrDiscard(
        RequestFraming.body(request, () -> new RefusedException(Reason.MALFORMED_BODY)),
        limit,
        () -> new RefusedException(Reason.BODY_TOO_LARGE));
  }

  Mono<Void> json(int status, Object body) {
    return bytes(status, JSON, Json.write(body));
  }

  Mono<Void> bytes(int status, String contentType, byte[] body) {
    response.status(status);
    response.header(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
    return response.sendObject(Unpooled.wrappedBuffer(body)).then();
  }

  /** Responds with a refusal, or aborts the connection when the response has started. */
  Mono<Void> refuse(Throwable error) {
    RefusedException refused = asRefusal(error);
    counters.refused(refused.reason());
    logger.atInfo().log(
        "event=refused request=%s reason=%s status=%d ran=\"%s\"",
        id, refused.reason(), refused.reason().status(), refused.reason().executionStatus().text());
    if (response.hasSentHeaders()) {
      return Mono.error(refused);
    }
    if (refused.retryAfterSeconds() > 0) {
      response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(refused.retryAfterSeconds()));
    }
    if (refused.reason() == Reason.DRAINING || refused.reason() == Reason.BODY_TOO_LARGE) {
      response.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return BoundedBytes.discard(request.receive().asByteArray())
        .then(
            json(
                HttpResponseStatus.valueOf(refused.reason().status()).code(),
                ErrorBody.of(refused, id)));
  }

  private RefusedException asRefusal(Throwable error) {
    if (error instanceof RefusedException refused) {
      return refused;
    }
    logger.atSevere().withCause(error).log("event=internal_error request=%s", id);
    return new RefusedException(Reason.INTERNAL);
  }
}
