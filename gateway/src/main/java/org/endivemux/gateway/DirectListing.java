package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListing;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads the list of backend servers directly from the platform while no leader distributes it.
 *
 * <p>Invariants: the more entries there are, the less often each of them reads, so that together
 * they stay far below the platform's rate limit; an entry that has no configuration yet reads
 * nothing, since it neither sends requests nor knows how many entries there are; a server that is
 * known to leave stays so; a server with a version that is new in its service is left out, since
 * only a leader records which versions serve. Thread-safe.
 */
public final class DirectListing implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

  /** Longer than several polls of the leader, and longer than an election. */
  private static final long LEADER_SILENCE_NANOS = Duration.ofMillis(2500).toNanos();

  private static final long MIN_READ_INTERVAL_NANOS = Duration.ofMillis(1500).toNanos();
  private static final long READ_INTERVAL_PER_ENTRY_NANOS = Duration.ofMillis(100).toNanos();

  private final GatewaySyncState syncState;
  private final Supplier<Mono<ServerListing>> reader;
  private final BooleanSupplier isConfigured;
  private final IntSupplier entries;
  private final LongSupplier nanos;
  private volatile long readAt;
  private volatile Disposable schedule = () -> {};

  /**
   * @param isConfigured returns whether the entry has a configuration
   * @param entries returns the number of entries
   */
  public DirectListing(
      GatewaySyncState syncState,
      Supplier<Mono<ServerListing>> reader,
      BooleanSupplier isConfigured,
      IntSupplier entries,
      LongSupplier nanos) {
    this.syncState = syncState;
    this.reader = reader;
    this.isConfigured = isConfigured;
    this.entries = entries;
    this.nanos = nanos;
    this.readAt = nanos.getAsLong();
  }

  /** Starts to check periodically; returns at once. */
  public DirectListing start() {
    schedule = Flux.interval(CHECK_INTERVAL).onBackpressureDrop().subscribe(tick -> readIfDue());
    return this;
  }

  void readIfDue() {
    long now = nanos.getAsLong();
    long interval =
        Math.max(MIN_READ_INTERVAL_NANOS, entries.getAsInt() * READ_INTERVAL_PER_ENTRY_NANOS);
    boolean isLeaderHeard = syncState.nanosSinceLeaderHeard() < LEADER_SILENCE_NANOS;
    if (!isConfigured.getAsBoolean() || isLeaderHeard || now - readAt < interval) {
      return;
    }
    readAt = now;
    var unused =
        reader
            .get()
            .subscribe(
                this::apply,
                error -> logger.atWarning().log("event=direct_list_failed cause=\"%s\"", error));
  }

  private void apply(ServerListing listing) {
    if (syncState.nanosSinceLeaderHeard() >= LEADER_SILENCE_NANOS) {
      List<GatewayServer> known = syncState.servers();
      List<GatewayServer> servers =
          withLeaving(
              ofKnownVersions(listing.completedFrom(known, syncState.trueMillis()), known), known);
      logger.atInfo().log("event=list_read_directly count=%d", servers.size());
      syncState.replaceServers(servers);
    }
  }

  /** Leaves out servers with a version that is new in a service of which versions are known. */
  private static List<GatewayServer> ofKnownVersions(
      List<GatewayServer> read, List<GatewayServer> known) {
    Map<ServiceName, Set<SoftwareVersion>> versions =
        known.stream()
            .filter(server -> server.version().isPresent())
            .collect(
                Collectors.groupingBy(
                    GatewayServer::service,
                    Collectors.mapping(
                        server -> server.version().orElseThrow(), Collectors.toSet())));
    return read.stream()
        .filter(server -> isKnown(server, versions.getOrDefault(server.service(), Set.of())))
        .toList();
  }

  private static boolean isKnown(GatewayServer server, Set<SoftwareVersion> versions) {
    return versions.isEmpty() || server.version().filter(versions::contains).isPresent();
  }

  /**
   * Returns the servers that were read, of which those known to leave do so: the leader may have
   * heard it from another entry, long before the platform lists it. Since when they leave is known
   * from the leader only.
   */
  private static List<GatewayServer> withLeaving(
      List<GatewayServer> read, List<GatewayServer> known) {
    Map<BackendServerId, Long> leavingSince =
        known.stream()
            .filter(GatewayServer::leaving)
            .collect(
                Collectors.toMap(GatewayServer::id, GatewayServer::leavingSinceMillis, Math::min));
    return read.stream()
        .map(
            server ->
                leavingSince.containsKey(server.id())
                    ? server.leavingSince(leavingSince.get(server.id()))
                    : server)
        .toList();
  }

  @Override
  public void close() {
    schedule.dispose();
  }
}
