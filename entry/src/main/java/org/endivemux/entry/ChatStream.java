package org.endivemux.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.endivemux.entry.AttemptRunner.Attempt;
import org.endivemux.entry.BackendClient.Call;
import org.endivemux.entry.BackendClient.Response;
import org.endivemux.routing.Assignment;
import org.endivemux.wire.sse.SseEvent;
import org.endivemux.wire.sse.SseSplitter;
import reactor.core.publisher.Flux;

/**
 * Relays one streamed response and resumes it with another attempt when a stream breaks.
 *
 * <p>Invariants: the caller receives each token position exactly once and without gaps, in complete
 * events only; a response is complete only after its closing event. One instance per request, used
 * by one attempt at a time.
 */
final class ChatStream {
  private static final String LAST_EVENT_ID = "last-event-id";

  private final UpstreamRequest upstream;
  private final BackendClient client;
  private final Counters counters;
  private long position;
  private int tokens;
  private boolean allPositioned = true;

  ChatStream(UpstreamRequest upstream, BackendClient client, Counters counters) {
    this.upstream = upstream;
    this.client = client;
    this.counters = counters;
  }

  /** Returns the number of tokens relayed to the caller. */
  int tokens() {
    return tokens;
  }

  Flux<SseEvent> send(Assignment assignment, Attempt attempt) {
    Call call =
        new Call(
            upstream.job().id(),
            assignment.server(),
            upstream.method(),
            upstream.path(),
            headers(),
            upstream.body(),
            true,
            attempt.sendMarker());
    return client.send(call, response -> relay(response, attempt));
  }

  private HttpHeaders headers() {
    HttpHeaders headers = new DefaultHttpHeaders().set(upstream.headers());
    if (position > 0) {
      headers.set(LAST_EVENT_ID, Long.toString(position));
    }
    return headers;
  }

  private Flux<SseEvent> relay(Response response, Attempt attempt) {
    if (response.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
      return Flux.error(new BackendBusyException());
    }
    if (response.status() != HttpResponseStatus.OK.code()) {
      return Flux.error(
          new BrokenResponseException(
              "The backend server responded with status " + response.status() + "."));
    }
    SseSplitter splitter = new SseSplitter();
    return response
        .body()
        .concatMapIterable(splitter::feed)
        .timeout(response.maxPause())
        .filter(event -> accept(event, attempt))
        .onErrorResume(error -> attempt.isComplete() ? Flux.empty() : Flux.error(error))
        .concatWith(Flux.defer(() -> checkComplete(attempt)));
  }

  private boolean accept(SseEvent event, Attempt attempt) {
    if (event.isDone()) {
      attempt.markComplete();
      return true;
    }
    attempt.recordTokens(1);
    if (event.position().isEmpty()) {
      allPositioned = false;
      attempt.markDelivered(false);
      tokens++;
      return true;
    }
    long at = event.position().getAsLong();
    if (at <= position) {
      counters.wasted(1);
      return false;
    }
    if (at != position + 1) {
      throw new BrokenResponseException("The stream skips token positions.");
    }
    position = at;
    tokens++;
    attempt.markDelivered(allPositioned);
    return true;
  }

  private Flux<SseEvent> checkComplete(Attempt attempt) {
    return attempt.isComplete()
        ? Flux.empty()
        : Flux.error(new BrokenResponseException("The stream ended before its closing event."));
  }
}
