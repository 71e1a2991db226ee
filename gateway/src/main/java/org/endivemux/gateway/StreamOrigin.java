package org.endivemux.gateway;

import java.util.Optional;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.SoftwareVersion;

/**
 * Holds which backend servers may continue a stream: those with the version of the server that sent
 * its first event, since other versions cannot go on from what it wrote. Immutable and thread-safe.
 *
 * @param version the version; empty if the platform stated none, so that no other server may
 */
record StreamOrigin(Optional<SoftwareVersion> version) {
  static StreamOrigin of(GatewayServer server) {
    return new StreamOrigin(server.version());
  }
}
