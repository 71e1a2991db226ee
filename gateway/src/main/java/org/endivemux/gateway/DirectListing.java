package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.model.gateway.GatewayServer;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads the list of backend servers from the platform while no leader hands it on.
 *
 * <p>Invariant: with more entries each reads more rarely, so that all together stay far below the
 * platform's limit of calls. Thread-safe.
 */
public final class DirectListing implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration ROUND = Duration.ofMillis(500);

  /** Several polls of a leader, and longer than an election. */
  private static final long SILENCE_NANOS = Duration.ofMillis(2500).toNanos();

  private static final long SHORTEST_PAUSE_NANOS = Duration.ofMillis(1500).toNanos();
  private static final long PAUSE_PER_ENTRY_NANOS = Duration.ofMillis(100).toNanos();

  private final GatewaySyncState ledger;
  private final Supplier<Mono<List<GatewayServer>>> reader;
  private final IntSupplier entries;
  private final LongSupplier nanos;
  private volatile long readAt;
  private volatile Disposable rounds = () -> {};

  public DirectListing(
      GatewaySyncState ledger,
      Supplier<Mono<List<GatewayServer>>> reader,
      IntSupplier entries,
      LongSupplier nanos) {
    this.ledger = ledger;
    this.reader = reader;
    this.entries = entries;
    this.nanos = nanos;
    this.readAt = nanos.getAsLong();
  }

  /** Starts the rounds; returns at once. */
  public DirectListing start() {
    rounds = Flux.interval(ROUND).onBackpressureDrop().subscribe(tick -> round());
    return this;
  }

  void round() {
    long now = nanos.getAsLong();
    long pause = Math.max(SHORTEST_PAUSE_NANOS, entries.getAsInt() * PAUSE_PER_ENTRY_NANOS);
    if (ledger.nanosSinceLeaderHeard() < SILENCE_NANOS || now - readAt < pause) {
      return;
    }
    readAt = now;
    var unused =
        reader
            .get()
            .subscribe(
                this::take,
                error -> logger.atWarning().log("event=direct_list_failed cause=\"%s\"", error));
  }

  private void take(List<GatewayServer> servers) {
    if (ledger.nanosSinceLeaderHeard() >= SILENCE_NANOS) {
      logger.atInfo().log("event=list_read_directly count=%d", servers.size());
      ledger.replaceServers(servers);
    }
  }

  @Override
  public void close() {
    rounds.dispose();
  }
}
