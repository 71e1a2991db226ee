package org.endivemux.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.StreamLedger;
import org.endivemux.gateway.BackendPort.Response;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.routing.fleet.Binding;
import org.endivemux.wire.BoundedBytes;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads the response to one attempt and decides whether it is passed on.
 *
 * <p>Invariants: a response without streaming is passed on only when it is complete; once the
 * caller has a part of a stream, nothing but further events of that stream is passed on; a request
 * that has begun to run is counted for usage once. Thread-safe.
 */
final class ResponseReader {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_RESPONSE_BYTES = 8 << 20;

  /** A sixth of the heap; a response takes twice its size while its parts are joined. */
  private static final long MEMORY_BYTES = 24 << 20;

  /** An error response is kept, in case that no other attempt succeeds, unless it is longer. */
  static final int MAX_RETAINED_BYTES = 64 << 10;

  /**
   * How much of the body of a rejection is read, so that its connection can be reused. A body that
   * exceeds this closes the connection, and the request goes on to another server.
   */
  private static final int MAX_REJECTION_BYTES = 64 << 10;

  private static final Duration MAX_REJECTION_TIME = Duration.ofMillis(200);
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;

  private final ServerPool pool;
  private final GatewaySyncState syncState;
  private final StreamLedger streams;
  private final LongSupplier nanos;
  private final ResponseMemory memory = new ResponseMemory(MEMORY_BYTES);

  ResponseReader(
      ServerPool pool, GatewaySyncState syncState, StreamLedger streams, LongSupplier nanos) {
    this.pool = pool;
    this.syncState = syncState;
    this.streams = streams;
    this.nanos = nanos;
  }

  /**
   * Returns the parts of a response to pass on; fails with {@link AttemptFailure} if there are
   * none.
   *
   * @param sentAt when the request was sent, in monotonic nanoseconds
   */
  Flux<ResponsePart> read(
      AdmittedRequest request, Progress progress, Binding binding, long sentAt, Response response) {
    heed(binding.server(), sentAt, response);
    if (response.notRun()) {
      return BoundedBytes.discard(response.body(), MAX_REJECTION_BYTES, MAX_REJECTION_TIME)
          .thenMany(Flux.error(new AttemptFailure.NotRun(response.addressReassigned())));
    }
    if (progress.headDelivered() && response.status() != OK) {
      return Flux.error(new AttemptFailure.ServerError());
    }
    return Flux.using(
        () -> memory.holding(request.service()),
        holding -> readBody(request, progress, binding, sentAt, response, holding),
        ResponseMemory.Holding::release);
  }

  private Flux<ResponsePart> readBody(
      AdmittedRequest request,
      Progress progress,
      Binding binding,
      long sentAt,
      Response response,
      ResponseMemory.Holding holding) {
    RequestId id = binding.job().id();
    if (request.route().kind() == RequestKind.STREAM && response.status() == OK) {
      StreamReader stream =
          new StreamReader(progress, holding, () -> firstEvent(request, progress, binding));
      return stream
          .read(response.status(), response.headers(), response.body())
          .doOnComplete(() -> pool.feedback().streamed(id, stream.eventCount()));
    }
    if (response.status() < FIRST_SERVER_ERROR) {
      // An error may come without any work, so its time tells nothing about the server's speed.
      pool.feedback().answered(id);
    }
    countOnce(request, progress, sentAt);
    BodyCollector collector = new BodyCollector(holding, MAX_RESPONSE_BYTES);
    return response
        .body()
        .doOnNext(collector::add)
        .then(Mono.fromSupplier(collector::join))
        .flatMapMany(bytes -> completeResponse(progress, response, bytes));
  }

  private void heed(GatewayServer server, long sentAt, Response response) {
    if (response.leaving()) {
      pool.feedback().leaves(server);
    }
    if (!response.pause().isZero()) {
      pool.feedback().pauses(server, response.pause());
    }
    if (!response.addressReassigned()) {
      pool.feedback().limitStated(server, response.requestsPerSecond(), sentAt);
    }
    response.report().ifPresent(report -> pool.feedback().reported(server, report));
  }

  private Flux<ResponsePart> completeResponse(Progress progress, Response response, byte[] bytes) {
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    ResponsePart.Head head = new ResponsePart.Head(response.status(), headers);
    if (response.status() >= FIRST_SERVER_ERROR) {
      if (bytes.length <= MAX_RETAINED_BYTES) {
        progress.retain(new Progress.RetainedResponse(head, bytes));
      }
      return Flux.error(new AttemptFailure.ServerError());
    }
    progress.delivered(progress.lastEvent());
    return Flux.just(head, new ResponsePart.Body(bytes));
  }

  private void firstEvent(AdmittedRequest request, Progress progress, Binding binding) {
    pool.feedback().answered(binding.job().id());
    progress.streamRunsAt(binding.server());
    if (request.route().repeatable()) {
      recordOrigin(request, binding.server());
    }
    countOnce(request, progress, nanos.getAsLong());
  }

  /** Records the version of a stream's server, for callers who resume the stream elsewhere. */
  private void recordOrigin(AdmittedRequest request, GatewayServer server) {
    server
        .version()
        .ifPresent(
            version ->
                streams.began(
                    request.head().streamKey(),
                    request.service(),
                    version,
                    request.streamLifetimeMillis()));
  }

  /** Counts a request that has begun to run for usage, once over all of its attempts. */
  private void countOnce(AdmittedRequest request, Progress progress, long beganAt) {
    Optional<OrganisationId> organisation = request.organisation();
    if (organisation.isPresent() && progress.countOnce()) {
      syncState.countStarted(organisation.get(), (nanos.getAsLong() - beganAt) / NANOS_PER_MILLI);
    }
  }
}
