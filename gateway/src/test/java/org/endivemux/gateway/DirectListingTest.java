package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.voter.Clocks;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListing;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import reactor.core.publisher.Mono;

/** Checks when an entry reads the platform's list itself. */
final class DirectListingTest {
  private static final long PLATFORM_LIMIT_PER_SECOND = 40;

  private final AtomicLong nanos = new AtomicLong(Duration.ofHours(1).toNanos());
  private final AtomicInteger reads = new AtomicInteger();
  private final GatewaySyncState syncState =
      new GatewaySyncState(
          new Clocks(nanos::get, () -> 0), 5000, List::of, List::of, List::of, CrashNews::none);

  private final AtomicBoolean isConfigured = new AtomicBoolean(true);
  private List<GatewayServer> listed = List.of();

  private DirectListing listing(int entries) {
    return new DirectListing(
        syncState,
        () -> {
          reads.incrementAndGet();
          return Mono.just(new ServerListing(listed, Set.of()));
        },
        isConfigured::get,
        () -> entries,
        nanos::get);
  }

  private void run(DirectListing listing, Duration time) {
    IntStream.range(0, (int) (time.toMillis() / 500))
        .forEach(
            i -> {
              nanos.addAndGet(Duration.ofMillis(500).toNanos());
              listing.readIfDue();
            });
  }

  @Example
  void nothingIsReadWhileTheLeaderWasHeardRecently() {
    run(listing(6), Duration.ofSeconds(2));
    assertThat(reads).hasValue(0);
  }

  @Example
  void listIsReadWithinTheTimeInWhichAServerMayLeave() {
    run(listing(6), Duration.ofSeconds(3));
    assertThat(reads).hasValue(1);
  }

  @Example
  void manyEntriesTogetherStayBelowThePlatformsRateLimit() {
    int entries = 63;
    run(listing(entries), Duration.ofSeconds(60));
    assertThat((double) reads.get() * entries / 60).isLessThan(PLATFORM_LIMIT_PER_SECOND / 2.0);
  }

  /**
   * Guards against calls of all entries that restart at once, beyond the platform's rate limit, so
   * that the new leader can not read the list.
   */
  @Example
  void entryWithoutConfigurationReadsNothing() {
    isConfigured.set(false);
    run(listing(1), Duration.ofSeconds(10));
    assertThat(reads).hasValue(0);
  }

  /** Guards against requests to a server that leaves and that the platform still lists as ready. */
  @Example
  void serverKnownToLeaveStaysLeaving() {
    GatewayServer server = Fixtures.server("s1", new ServiceName("llm"));
    syncState.replaceServers(List.of(server.asLeaving()));
    listed = List.of(server, Fixtures.server("s2", new ServiceName("llm")));
    run(listing(6), Duration.ofSeconds(3));
    assertThat(syncState.servers())
        .containsExactly(server.asLeaving(), Fixtures.server("s2", new ServiceName("llm")));
  }

  // Guards against a drain that is counted anew, or not at all, by an entry without a leader.
  @Example
  void entryKeepsSinceWhenAServerLeavesButDoesNotGuessIt() {
    GatewayServer known = Fixtures.server("s1", new ServiceName("llm"));
    GatewayServer sound = Fixtures.server("s2", new ServiceName("llm"));
    syncState.replaceServers(List.of(known.leavingSince(1000), sound));
    listed = List.of(known.asLeaving(), sound.asLeaving());
    run(listing(6), Duration.ofSeconds(3));
    assertThat(syncState.servers())
        .containsExactly(known.leavingSince(1000), sound.leavingSince(0));
  }

  /** Guards against streams of a version that is not in the record of which versions serve. */
  @Example
  void serverWithAVersionThatNoLeaderHasListedIsLeftOut() {
    GatewayServer known = Fixtures.server("s1", new ServiceName("llm"));
    GatewayServer unknown =
        Fixtures.server("s2", new ServiceName("llm"))
            .withVersion(Optional.of(new SoftwareVersion("v2")));
    syncState.replaceServers(List.of(known));
    listed = List.of(known, unknown);
    run(listing(6), Duration.ofSeconds(3));
    assertThat(reads).hasValue(1);
    assertThat(syncState.servers()).containsExactly(known);
  }

  /** Guards against an entry without servers, as a leader of an earlier build lists no versions. */
  @Example
  void serversStayWhileNoVersionOfTheirServiceIsKnown() {
    GatewayServer stated = Fixtures.server("s1", new ServiceName("llm"));
    syncState.replaceServers(List.of(stated.withVersion(Optional.empty())));
    listed = List.of(stated);
    run(listing(6), Duration.ofSeconds(3));
    assertThat(syncState.servers()).containsExactly(stated);
  }
}
