package org.endivemux.control.voter;

import java.util.List;
import java.util.Map;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import reactor.core.publisher.Mono;

/**
 * Talks to the platform that runs backend servers.
 *
 * <p>Implementations are thread-safe, do not block, send each call once, and send an order or a
 * report only while the leader's lease is held at the socket.
 */
public interface PlatformPort {
  /** Reads the whole list of backend servers, which lags. */
  Mono<List<GatewayServer>> servers();

  /** Reports a usage window. */
  Mono<Verdict> report(long window, Map<OrganisationId, Long> requests, long fencing);

  /** Orders a number of backend servers. */
  Mono<Verdict> order(CapacityOrder order, long fencing);

  /** Holds the wanted number of backend servers of one kind. Immutable and thread-safe. */
  record CapacityOrder(
      ServiceName service, FailureDomain failureDomain, ServerKind kind, int count) {}

  /** Tells what the platform said to an order or a report. */
  enum Verdict {
    ACCEPTED,
    /** Nothing is to be had, or a newer holder has called: the same call is of no use now. */
    REJECTED,
    /** The platform could not take the call now. */
    BUSY
  }
}
