package org.endivemux.model.gateway;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;

/**
 * Holds one backend server as listed by the platform. Immutable and thread-safe.
 *
 * @param address IP address and port
 * @param leaving whether it is draining and accepts no new requests
 * @param coldUntilMillis true time in Unix milliseconds until which it is cold, as last estimated;
 *     0 if it has not been listed as cold, and from processes of an earlier version
 * @param refusedAtMillis true time in Unix milliseconds at which it was last reported to refuse
 *     connections; 0 if it was not, and from processes of an earlier version
 * @param version version of its software; empty if the platform does not state it, and from
 *     processes of an earlier version
 * @param leavingSinceMillis true time in Unix milliseconds after which the platform first listed it
 *     as leaving: when it was last read as not leaving, less the lag of the list; 0 if it does not
 *     leave, if that time is not known, and from processes of an earlier version
 */
public record GatewayServer(
    BackendServerId id,
    ServiceName service,
    String address,
    FailureDomain failureDomain,
    int slots,
    boolean leaving,
    ServerKind kind,
    long coldUntilMillis,
    @JsonInclude(JsonInclude.Include.NON_DEFAULT) long refusedAtMillis,
    @JsonInclude(JsonInclude.Include.NON_ABSENT) Optional<SoftwareVersion> version,
    @JsonInclude(JsonInclude.Include.NON_DEFAULT) long leavingSinceMillis) {
  public GatewayServer {
    version = version == null ? Optional.empty() : version;
  }

  /** Creates a server that has not been listed as cold and whose version is not known. */
  public GatewayServer(
      BackendServerId id,
      ServiceName service,
      String address,
      FailureDomain failureDomain,
      int slots,
      boolean leaving,
      ServerKind kind) {
    this(id, service, address, failureDomain, slots, leaving, kind, 0, 0, Optional.empty(), 0);
  }

  /** Returns the same server, which accepts no new requests. */
  public GatewayServer asLeaving() {
    return with(true, coldUntilMillis, refusedAtMillis, version, leavingSinceMillis);
  }

  /**
   * Returns the same server, which accepts no new requests since a true time in Unix milliseconds.
   */
  public GatewayServer leavingSince(long millis) {
    return with(true, coldUntilMillis, refusedAtMillis, version, millis);
  }

  /** Returns the same server, which is cold until a true time in Unix milliseconds. */
  public GatewayServer coldUntil(long millis) {
    return with(leaving, millis, refusedAtMillis, version, leavingSinceMillis);
  }

  /** Returns the same server, which refused a connection at a true time in Unix milliseconds. */
  public GatewayServer refusedAt(long millis) {
    return with(leaving, coldUntilMillis, millis, version, leavingSinceMillis);
  }

  /** Returns the same server with a version of its software. */
  public GatewayServer withVersion(Optional<SoftwareVersion> newVersion) {
    return with(leaving, coldUntilMillis, refusedAtMillis, newVersion, leavingSinceMillis);
  }

  private GatewayServer with(
      boolean newLeaving,
      long newColdUntilMillis,
      long newRefusedAtMillis,
      Optional<SoftwareVersion> newVersion,
      long newLeavingSinceMillis) {
    return new GatewayServer(
        id,
        service,
        address,
        failureDomain,
        slots,
        newLeaving,
        kind,
        newColdUntilMillis,
        newRefusedAtMillis,
        newVersion,
        newLeavingSinceMillis);
  }
}
