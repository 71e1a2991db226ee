package org.endivemux.model.gateway;

import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;

/**
 * Holds one backend server as the platform's list shows it. Immutable and thread-safe.
 *
 * @param address IP number and port
 * @param leaving whether it takes no new work
 */
public record GatewayServer(
    BackendServerId id,
    ServiceName service,
    String address,
    FailureDomain failureDomain,
    int slots,
    boolean leaving,
    ServerKind kind) {}
