package org.endivemux.wire.http;

import java.net.SocketAddress;
import java.util.Optional;

/**
 * Describes bytes that a server sent on a connection and that belong to no request in progress.
 * Immutable and thread-safe.
 *
 * @param server the remote address of the connection
 * @param previousRequest id of the last request that was answered on the connection
 * @param request id of the request in progress, if any
 * @param count how many bytes were dropped
 */
public record StrayBytes(
    SocketAddress server,
    Position position,
    Optional<String> previousRequest,
    Optional<String> request,
    long count) {

  /** Lists where stray bytes arrive. */
  public enum Position {
    /** In the same read as the end of a response. */
    AFTER_RESPONSE,
    /** While no request is in progress. */
    IDLE,
    /** After a request was sent and before its response. */
    BEFORE_RESPONSE
  }

  /** Returns the description as key=value pairs of a log line. */
  public String logFields() {
    return "server=%s position=%s bytes=%d previous=%s request=%s"
        .formatted(server, position, count, previousRequest.orElse("-"), request.orElse("-"));
  }
}
