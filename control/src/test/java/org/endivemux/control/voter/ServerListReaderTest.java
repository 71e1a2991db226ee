package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListing;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import reactor.core.publisher.Mono;

/** Checks how often a leader reads the platform's list, and what times it gives. */
final class ServerListReaderTest {
  private static final long TERM = 1;
  private static final Duration STEP = Duration.ofMillis(50);
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v2");

  private final AtomicLong nanos = new AtomicLong(Duration.ofHours(1).toNanos());
  private final Clocks clocks =
      new Clocks(nanos::get, () -> TimeUnit.NANOSECONDS.toMillis(nanos.get()));
  private final long leaderSince = nanos.get();
  private final TrueTime time = new TrueTime(clocks);
  private final ServerDirectory directory = new ServerDirectory();
  private final CommittingState state = new CommittingState(clocks);
  private final Platform platform = new Platform();
  private final ServerListReader reader =
      new ServerListReader(
          platform, directory, new StreamRecorder(state, time), time, clocks, () -> {});

  private static GatewayServer server(String id, SoftwareVersion version) {
    return new GatewayServer(
            new BackendServerId(id),
            new ServiceName("llm"),
            id + ":1",
            new FailureDomain("d"),
            4,
            false,
            ServerKind.STEADY)
        .withVersion(Optional.of(version));
  }

  /** Returns how often the list is read in some time. */
  private int readsIn(Duration length) {
    int before = platform.reads;
    for (long passed = 0; passed < length.toNanos(); passed += STEP.toNanos()) {
      nanos.addAndGet(STEP.toNanos());
      reader.readIfDue(TERM, leaderSince).subscribe();
    }
    return platform.reads - before;
  }

  // Guards against a drain of which little is left once the leader has read of it.
  @Example
  void calmListOfAReleaseIsReadMoreOften() {
    platform.servers = List.of(server("a", OLD), server("b", OLD));
    readsIn(Duration.ofSeconds(2));
    assertThat(readsIn(Duration.ofSeconds(7))).isBetween(9, 10);
    platform.servers = List.of(server("a", OLD), server("b", NEW));
    readsIn(Duration.ofSeconds(3));
    assertThat(readsIn(Duration.ofSeconds(7))).isBetween(28, 36);
  }

  // Guards against servers that crash in turn and get requests the sooner.
  @Example
  void listThatChangesAtEachReadingIsReadAtTheUsualInterval() {
    platform.isRestarting = true;
    platform.servers = List.of(server("a", OLD), server("b", NEW));
    readsIn(Duration.ofSeconds(2));
    assertThat(readsIn(Duration.ofSeconds(7))).isBetween(9, 10);
  }

  // Guards against times of servers that leave which end with their leader.
  @Example
  void timeOfAServerThatLeavesIsRecorded() {
    platform.servers = List.of(server("a", OLD), server("b", NEW));
    readsIn(Duration.ofSeconds(3));
    platform.servers = List.of(server("a", OLD).asLeaving(), server("b", NEW));
    readsIn(Duration.ofSeconds(1));
    Map<BackendServerId, Long> recorded = state.state.streamVersions().leavingSince();
    assertThat(recorded).containsOnlyKeys(new BackendServerId("a"));
    assertThat(recorded).isEqualTo(directory.leavingSince());
    assertThat(state.notes.stream().filter(note -> !note.leaving().isEmpty())).hasSize(1);
  }

  /** Lists some servers; while they restart, one of them has a new id at each reading. */
  private static final class Platform implements PlatformPort {
    private List<GatewayServer> servers = List.of();
    private boolean isRestarting;
    private int reads;

    @Override
    public Mono<ServerListing> servers() {
      reads++;
      if (isRestarting) {
        servers = List.of(servers.get(0), server("restarted" + reads, NEW));
      }
      return Mono.just(new ServerListing(servers, Set.of()));
    }

    @Override
    public Mono<Verdict> report(long window, Map<OrganisationId, Long> requests, long fencing) {
      return Mono.empty();
    }

    @Override
    public Mono<Verdict> order(CapacityOrder order, long fencing) {
      return Mono.empty();
    }
  }
}
