package org.endivemux.control.voter;

import java.util.Map;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.ServerListing;
import org.endivemux.model.gateway.ServiceName;
import reactor.core.publisher.Mono;

/**
 * Calls the platform that runs the backend servers.
 *
 * <p>Implementations are thread-safe, do not block, send each call once, and send an order or a
 * report only if the leader's lease is still held when the call is written to the socket.
 */
public interface PlatformPort {
  /** Reads the whole list of backend servers, which lags. */
  Mono<ServerListing> servers();

  /** Reports a usage window. */
  Mono<Verdict> report(long window, Map<OrganisationId, Long> requests, long fencing);

  /** Orders a number of backend servers. */
  Mono<Verdict> order(CapacityOrder order, long fencing);

  /** Holds the wanted number of backend servers of one kind. Immutable and thread-safe. */
  record CapacityOrder(
      ServiceName service, FailureDomain failureDomain, ServerKind kind, int count) {}

  /** Lists the platform's replies to an order or a report. */
  enum Verdict {
    ACCEPTED,
    /**
     * No capacity is available, or a caller with a newer fencing number has called; it is useless
     * to repeat the call now.
     */
    REJECTED,
    /** The platform could not process the call now. */
    BUSY
  }
}
