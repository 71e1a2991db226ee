package org.endivemux.model.gateway;

import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;

/**
 * Holds one backend server as listed by the platform. Immutable and thread-safe.
 *
 * @param address IP address and port
 * @param leaving whether it is draining and accepts no new requests
 */
public record GatewayServer(
    BackendServerId id,
    ServiceName service,
    String address,
    FailureDomain failureDomain,
    int slots,
    boolean leaving,
    ServerKind kind) {

  /** Returns the same server, which accepts no new requests. */
  public GatewayServer asLeaving() {
    return new GatewayServer(id, service, address, failureDomain, slots, true, kind);
  }
}
