package org.endivemux.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.endivemux.entry.BackendClient.Answer;
import org.endivemux.entry.BackendClient.Call;
import org.endivemux.entry.Tries.OneTry;
import org.endivemux.routing.Assignment;
import org.endivemux.wire.sse.SseEvent;
import org.endivemux.wire.sse.SseSplitter;
import reactor.core.publisher.Flux;

/**
 * Relays one streamed answer, over several tries when one breaks.
 *
 * <p>Invariants: the caller gets each token position once and without a gap; whole events only; the
 * answer counts as whole only after its closing event. One instance a request, used by one try at a
 * time.
 */
final class ChatStream {
  private static final String LAST_EVENT_ID = "last-event-id";

  private final Work work;
  private final BackendClient client;
  private final Counters counters;
  private long position;
  private int tokens;
  private boolean positioned = true;

  ChatStream(Work work, BackendClient client, Counters counters) {
    this.work = work;
    this.client = client;
    this.counters = counters;
  }

  /** Returns the tokens that the caller has. */
  int tokens() {
    return tokens;
  }

  Flux<SseEvent> send(Assignment assignment, OneTry oneTry) {
    Call call =
        new Call(
            work.job().id(),
            assignment.server(),
            work.method(),
            work.path(),
            headers(),
            work.body(),
            true,
            oneTry.sent());
    return client.send(call, answer -> relay(answer, oneTry));
  }

  private HttpHeaders headers() {
    HttpHeaders headers = new DefaultHttpHeaders().set(work.headers());
    if (position > 0) {
      headers.set(LAST_EVENT_ID, Long.toString(position));
    }
    return headers;
  }

  private Flux<SseEvent> relay(Answer answer, OneTry oneTry) {
    if (answer.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
      return Flux.error(new BackendBusyException());
    }
    if (answer.status() != HttpResponseStatus.OK.code()) {
      return Flux.error(
          new BrokenAnswerException("The backend server answered " + answer.status() + "."));
    }
    SseSplitter splitter = new SseSplitter();
    return answer
        .body()
        .concatMapIterable(splitter::feed)
        .filter(event -> accept(event, oneTry))
        .onErrorResume(error -> oneTry.isWhole() ? Flux.empty() : Flux.error(error))
        .concatWith(Flux.defer(() -> checkWhole(oneTry)));
  }

  private boolean accept(SseEvent event, OneTry oneTry) {
    if (event.isDone()) {
      oneTry.completed();
      return true;
    }
    oneTry.received(1);
    if (event.position().isEmpty()) {
      positioned = false;
      oneTry.delivered(false);
      tokens++;
      return true;
    }
    long at = event.position().getAsLong();
    if (at <= position) {
      counters.wasted(1);
      return false;
    }
    if (at != position + 1) {
      throw new BrokenAnswerException("The stream leaves out token positions.");
    }
    position = at;
    tokens++;
    oneTry.delivered(positioned);
    return true;
  }

  private Flux<SseEvent> checkWhole(OneTry oneTry) {
    return oneTry.isWhole()
        ? Flux.empty()
        : Flux.error(new BrokenAnswerException("The stream ended before its closing event."));
  }
}
