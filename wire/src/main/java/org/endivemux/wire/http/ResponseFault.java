package org.endivemux.wire.http;

import java.net.SocketAddress;
import java.util.Optional;

/**
 * Describes a response that is not passed on, or not to its end, because of a fault of its server.
 * Immutable and thread-safe.
 *
 * @param server the remote address of the connection
 * @param request id of the request, if requests have ids on the connection
 */
public record ResponseFault(SocketAddress server, Optional<String> request, Reason reason) {

  /** Lists what is wrong with a response. */
  public enum Reason {
    /** The status is not three digits from 100 to 599. */
    MALFORMED_STATUS,
    /** A line of a head, of trailers or between chunks is malformed. */
    MALFORMED_LINE,
    /** The fields that state the length contradict each other or name an unknown coding. */
    AMBIGUOUS_LENGTH,
    /** The HTTP library cannot decode the response. */
    NOT_DECODABLE,
    /** Only the end of the connection can end the body, and the server did not end it in order. */
    CONNECTION_BROKEN,
    /**
     * Only the end of the connection can end the body, and the server ended it before the request
     * had been written.
     */
    REQUEST_UNFINISHED
  }

  /** Returns the description as key=value pairs of a log line. */
  public String logFields() {
    return "reason=%s server=%s request=%s".formatted(reason, server, request.orElse("-"));
  }
}
