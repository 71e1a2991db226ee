package org.endivemux.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalLong;
import org.endivemux.wire.sse.SseEvent;
import org.endivemux.wire.sse.SseSplitter;
import reactor.core.publisher.Flux;

/**
 * Passes on the complete events of one attempt's stream.
 *
 * <p>Invariant: the caller gets each event once and in order, even if an earlier attempt delivered
 * the first ones. Not thread-safe: used by one attempt, on its event loop.
 */
final class StreamReader {
  private final SseSplitter splitter = new SseSplitter();
  private final Progress progress;
  private final ResponseMemory.Holding holding;
  private final Runnable onFirstEvent;
  private int eventCount;

  /**
   * @param holding memory of the event that is not complete yet
   */
  StreamReader(Progress progress, ResponseMemory.Holding holding, Runnable onFirstEvent) {
    this.progress = progress;
    this.holding = holding;
    this.onFirstEvent = onFirstEvent;
  }

  Flux<ResponsePart> read(int status, HttpHeaders headers, Flux<byte[]> body) {
    return body.concatMapIterable(bytes -> parts(status, headers, bytes))
        .concatWith(Flux.defer(this::end));
  }

  /** Returns the number of complete events so far, repeated ones included. */
  int eventCount() {
    return eventCount;
  }

  private List<ResponsePart> parts(int status, HttpHeaders headers, byte[] bytes) {
    holding.resize((long) splitter.partialBytes() + bytes.length);
    List<SseEvent> events = splitter.feed(bytes);
    holding.resize(splitter.partialBytes());
    if (!events.isEmpty() && eventCount == 0) {
      onFirstEvent.run();
    }
    eventCount += events.size();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    boolean needsHead = !progress.headDelivered();
    events.stream().filter(this::isNew).forEach(event -> deliver(event, out));
    if (out.size() == 0) {
      return List.of();
    }
    ResponsePart.Body part = new ResponsePart.Body(out.toByteArray());
    return needsHead ? List.of(new ResponsePart.Head(status, headers), part) : List.of(part);
  }

  private boolean isNew(SseEvent event) {
    OptionalLong id = event.position();
    OptionalLong last = progress.lastEvent();
    return id.isEmpty() || last.isEmpty() || id.getAsLong() > last.getAsLong();
  }

  private void deliver(SseEvent event, ByteArrayOutputStream out) {
    out.writeBytes(event.raw());
    progress.delivered(event.position());
  }

  private Flux<ResponsePart> end() {
    return splitter.isBetweenEvents() && eventCount > 0
        ? Flux.empty()
        : Flux.error(new BrokenStreamException());
  }

  /** Signals that a stream ended within an event or before its first one. Immutable. */
  static final class BrokenStreamException extends RuntimeException {
    private static final long serialVersionUID = 1;

    BrokenStreamException() {
      super("The stream ended within an event or before its first one.");
    }
  }
}
