package org.endivemux.model.gateway;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;

/**
 * Holds one reading of the platform's list of backend servers, to which others write, too.
 *
 * <p>Invariant: each id occurs once. Immutable and thread-safe.
 *
 * @param servers servers whose entries could be read, in their order; of several with one id the
 *     first counts
 * @param unreadable ids of further servers whose entries have no meaning
 * @param coldLeftMillis how much longer servers stay cold, for those that are listed as cold
 */
public record ServerListing(
    List<GatewayServer> servers,
    Set<BackendServerId> unreadable,
    Map<BackendServerId, Long> coldLeftMillis) {
  /**
   * The list lags by 0 to 800 ms, so two readings of one cold period differ by up to this. A later
   * end is another cold period.
   */
  private static final long MAX_LAG_DIFFERENCE_MILLIS = 900;

  /** An earlier end is passed on only if it differs by this, since entries are sent each change. */
  private static final long MIN_CORRECTION_MILLIS = 250;

  public ServerListing {
    Map<BackendServerId, GatewayServer> byId = new LinkedHashMap<>();
    servers.forEach(server -> byId.putIfAbsent(server.id(), server));
    servers = List.copyOf(byId.values());
    unreadable =
        unreadable.stream()
            .filter(id -> !byId.containsKey(id))
            .collect(Collectors.toUnmodifiableSet());
    coldLeftMillis = Map.copyOf(coldLeftMillis);
  }

  /** Creates a listing without cold servers. */
  public ServerListing(List<GatewayServer> servers, Set<BackendServerId> unreadable) {
    this(servers, unreadable, Map.of());
  }

  /**
   * Returns the servers; one whose entry could not be read stays as it is known.
   *
   * <p>The end of a cold period keeps its known value over repeated readings. A reading that lists
   * a server as warm leaves that end as it is, because it may be older than the known one. The time
   * of a refused connection is not in the listing and is kept, and so is a known version that this
   * reading does not state.
   *
   * @param nowMillis true time at which the listing was received, in Unix milliseconds
   */
  public List<GatewayServer> completedFrom(List<GatewayServer> known, long nowMillis) {
    Map<BackendServerId, GatewayServer> knownById = new HashMap<>();
    known.forEach(server -> knownById.putIfAbsent(server.id(), server));
    return Stream.concat(
            servers.stream()
                .map(
                    server ->
                        completed(server, knownById.getOrDefault(server.id(), server), nowMillis)),
            known.stream().filter(server -> unreadable.contains(server.id())))
        .toList();
  }

  private GatewayServer completed(GatewayServer read, GatewayServer known, long nowMillis) {
    return read.coldUntil(coldEnd(read.id(), known.coldUntilMillis(), nowMillis))
        .refusedAt(known.refusedAtMillis())
        .withVersion(read.version().or(known::version));
  }

  private long coldEnd(BackendServerId id, long known, long nowMillis) {
    long left = coldLeftMillis.getOrDefault(id, 0L);
    long end = nowMillis + left;
    boolean isSame =
        end > known - MIN_CORRECTION_MILLIS && end <= known + MAX_LAG_DIFFERENCE_MILLIS;
    return left <= 0 || isSame ? known : end;
  }
}
