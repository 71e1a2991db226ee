package org.endivemux.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.GatewayServer;
import reactor.core.publisher.Flux;

/**
 * Sends requests to backend servers.
 *
 * <p>Implementations are thread-safe and do not block, send each call at most once, close the
 * connection of a call that was cancelled or not read to its end, and fail when an answer belongs
 * to another request or ends early.
 */
public interface BackendPort {
  /** Sends a call and hands its answer to a reader as soon as the head is here. */
  <T> Flux<T> send(Call call, Function<Response, Flux<T>> reader);

  /**
   * Holds one call. Not changed after it was made, but for {@code sendMarker}.
   *
   * @param timeLeft how long the caller still waits
   * @param urgency rank at the backend server, 0 is the most urgent
   * @param resumeAfter id of the last event that the caller has
   * @param copyFrom another server that probably keeps shared parts of the prompt
   */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are handed on, not compared.
  record Call(
      RequestHead head,
      byte[] body,
      GatewayServer server,
      Optional<OrganisationId> organisation,
      Duration timeLeft,
      int urgency,
      OptionalLong resumeAfter,
      Optional<GatewayServer> copyFrom,
      int maxConnections,
      SendMarker sendMarker) {}

  /** Tells whether a byte of a call may have left. Thread-safe; it only changes to true. */
  final class SendMarker {
    private final AtomicBoolean value = new AtomicBoolean();

    public boolean mayHaveSent() {
      return value.get();
    }

    public void markSent() {
      value.set(true);
    }
  }

  /**
   * Holds an answer whose head is here and whose body is not yet read.
   *
   * @param notRun whether the backend server says that it has not run the request
   * @param addressReassigned whether the address belongs to another backend server now
   */
  record Response(
      int status, HttpHeaders headers, boolean notRun, boolean addressReassigned, Flux<byte[]> body) {}
}
