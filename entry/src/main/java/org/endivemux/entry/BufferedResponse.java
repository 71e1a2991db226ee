package org.endivemux.entry;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import org.endivemux.entry.AttemptRunner.Attempt;
import org.endivemux.entry.BackendClient.Call;
import org.endivemux.entry.BackendClient.Response;
import org.endivemux.routing.Assignment;
import reactor.core.publisher.Flux;

/** Holds a completely received response. The body is passed on without a copy, never modified. */
@SuppressWarnings("ArrayRecordComponent") // Bodies are passed on, never compared.
record BufferedResponse(int status, HttpHeaders headers, byte[] body) {
  private static final int MAX_BYTES = 8 << 20;

  /** Bounds the time of a body that arrives a few bytes at a time, in longest pauses. */
  private static final int MAX_PAUSES_PER_BODY = 6;

  /** Sends a request once and reads the whole response. */
  static Flux<BufferedResponse> send(
      BackendClient client, UpstreamRequest upstream, Assignment assignment, Attempt attempt) {
    Call call =
        new Call(
            upstream.job().id(),
            assignment.server(),
            upstream.method(),
            upstream.path(),
            upstream.headers(),
            upstream.body(),
            upstream.job().repeatable(),
            attempt.sendMarker());
    return client.send(call, response -> read(response, upstream, attempt));
  }

  private static Flux<BufferedResponse> read(
      Response response, UpstreamRequest upstream, Attempt attempt) {
    boolean busy = response.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    if (busy && upstream.job().repeatable()) {
      return Flux.error(new BackendBusyException());
    }
    attempt.recordTokens(0);
    return response
        .body()
        .timeout(response.maxPause())
        .reduceWith(ByteArrayOutputStream::new, BufferedResponse::append)
        .timeout(response.maxPause().multipliedBy(MAX_PAUSES_PER_BODY))
        .map(out -> new BufferedResponse(response.status(), response.headers(), out.toByteArray()))
        .doOnNext(complete -> attempt.markComplete())
        .flux();
  }

  private static ByteArrayOutputStream append(ByteArrayOutputStream out, byte[] part) {
    if (out.size() + part.length > MAX_BYTES) {
      throw new BrokenResponseException("The response is longer than " + MAX_BYTES + " bytes.");
    }
    out.writeBytes(part);
    return out;
  }

  boolean isOk() {
    return status == HttpResponseStatus.OK.code();
  }
}
