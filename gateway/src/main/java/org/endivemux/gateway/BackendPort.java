package org.endivemux.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Function;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerReport;
import org.endivemux.wire.SendMarker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends requests to backend servers.
 *
 * <p>Implementations are thread-safe and do not block, send each call at most once and only if its
 * {@code sendMarker} allows it right before the first byte is written, close the connection of a
 * call that was cancelled or whose response was not read to its end, and fail when a response
 * belongs to another request or ends early.
 */
public interface BackendPort {
  /**
   * Sends a call and passes its response to a reader as soon as the head has arrived; fails with
   * {@link ConnectionRefused} if nothing listens at the server's address.
   */
  <T> Flux<T> send(Call call, Function<Response, Flux<T>> reader);

  /**
   * Returns whether a backend server refuses new connections; false also when that is not known.
   */
  Mono<Boolean> isGone(GatewayServer server);

  /** Signals that nothing listens at a backend server's address. Immutable. */
  final class ConnectionRefused extends RuntimeException {
    private static final long serialVersionUID = 1;

    public ConnectionRefused(Throwable cause) {
      super("The backend server refused the connection.", cause);
    }
  }

  /**
   * Holds one call. Not modified after construction, except for {@code sendMarker}.
   *
   * @param timeLeft how long the caller will still wait
   * @param urgency rank at the backend server, 0 is the most urgent
   * @param resumeAfter id of the last event that the caller has received
   * @param copyFrom another server that has probably cached shared parts of the prompt
   */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are passed on, not compared.
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

  /**
   * Holds a response whose head has arrived and whose body has not been read yet.
   *
   * @param notRun whether the backend server states that it did not run the request
   * @param addressReassigned whether the address now belongs to another backend server
   * @param leaving whether the backend server states that it leaves
   * @param pause how long the backend server wants no further requests; zero if it does not say
   * @param requestsPerSecond rate limit that the backend server states for the requests of all
   *     entries together, if it does
   * @param report what the backend server states of its load, if it does
   */
  record Response(
      int status,
      HttpHeaders headers,
      boolean notRun,
      boolean addressReassigned,
      boolean leaving,
      Duration pause,
      OptionalDouble requestsPerSecond,
      Optional<ServerReport> report,
      Flux<byte[]> body) {
    /** Creates a response that states no rate limit and no load. */
    public Response(
        int status,
        HttpHeaders headers,
        boolean notRun,
        boolean addressReassigned,
        boolean leaving,
        Duration pause,
        Flux<byte[]> body) {
      this(
          status,
          headers,
          notRun,
          addressReassigned,
          leaving,
          pause,
          OptionalDouble.empty(),
          Optional.empty(),
          body);
    }
  }
}
