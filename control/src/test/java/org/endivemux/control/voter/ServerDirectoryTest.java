package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListing;
import org.endivemux.model.gateway.ServiceName;

/** Checks that what entries report of servers is handed on with the list of servers. */
final class ServerDirectoryTest {
  private static final long TERM = 3;
  private static final BackendServerId LEAVING = new BackendServerId("s1");

  private final ServerDirectory directory = new ServerDirectory();

  private static List<GatewayServer> listed() {
    return IntStream.range(0, 3)
        .mapToObj(
            i ->
                new GatewayServer(
                    new BackendServerId("s" + i),
                    new ServiceName("service"),
                    "10.0.0." + i,
                    new FailureDomain("a"),
                    4,
                    false,
                    ServerKind.STEADY))
        .toList();
  }

  private static ServerListing listing(List<GatewayServer> servers) {
    return new ServerListing(servers, Set.of());
  }

  private boolean replace(long term, ServerListing listing, long nowMillis) {
    return directory.replace(term, listing, nowMillis, OptionalLong.of(nowMillis), Map.of());
  }

  private static List<GatewayServer> listedWithOneLeaving() {
    return listed().stream()
        .map(server -> server.id().equals(LEAVING) ? server.asLeaving() : server)
        .toList();
  }

  private long leavingSince() {
    return directory.servers().stream()
        .filter(server -> server.id().equals(LEAVING))
        .mapToLong(GatewayServer::leavingSinceMillis)
        .findFirst()
        .orElseThrow();
  }

  // Guards against a drain that is counted from a later moment than the platform's own list.
  @Example
  void serverLeavesSinceItWasLastReadAsNotLeaving() {
    directory.replace(TERM, listing(listed()), 10_050, OptionalLong.of(10_000), Map.of());
    directory.replace(TERM, listing(listed()), 10_800, OptionalLong.of(10_700), Map.of());
    directory.replace(
        TERM, listing(listedWithOneLeaving()), 11_500, OptionalLong.of(11_400), Map.of());
    assertThat(leavingSince()).isEqualTo(10_700);
    assertThat(
            directory.replace(
                TERM, listing(listedWithOneLeaving()), 12_200, OptionalLong.of(12_100), Map.of()))
        .isFalse();
    assertThat(leavingSince()).isEqualTo(10_700);
  }

  // Guards against a drain that is counted from a notice although the server was known to leave.
  @Example
  void serverThatToldAnEntryLeavesSinceTheLastReadingBefore() {
    directory.replace(TERM, listing(listed()), 10_050, OptionalLong.of(10_000), Map.of());
    directory.reportLeaving(TERM, List.of(LEAVING));
    directory.replace(TERM, listing(listed()), 10_800, OptionalLong.of(10_700), Map.of());
    directory.replace(
        TERM, listing(listedWithOneLeaving()), 11_500, OptionalLong.of(11_400), Map.of());
    assertThat(leavingSince()).isEqualTo(10_000);
  }

  // Guards against a new leader that counts a drain from its own first reading.
  @Example
  void newLeaderKnowsOnlyWhatAnEarlierOneRecorded() {
    directory.replace(TERM, listing(listed()), 10_050, OptionalLong.of(10_000), Map.of());
    List<GatewayServer> servers = listedWithOneLeaving();
    directory.replace(TERM + 1, listing(servers), 11_500, OptionalLong.of(11_400), Map.of());
    assertThat(leavingSince()).isZero();
    assertThat(directory.leavingSince()).isEmpty();
    directory.replace(
        TERM + 1, listing(servers), 12_200, OptionalLong.of(12_100), Map.of(LEAVING, 10_000L));
    assertThat(leavingSince()).isEqualTo(10_000);
  }

  // Guards against a time by the wrong clock of a leader that has not heard from the entries yet.
  @Example
  void noTimeIsKnownBeforeTrueTimeHasSettled() {
    directory.replace(TERM, listing(listed()), 10_050, OptionalLong.empty(), Map.of());
    List<GatewayServer> servers = listedWithOneLeaving();
    Map<BackendServerId, Long> recorded = Map.of(LEAVING, 9_000L);
    directory.replace(TERM, listing(servers), 10_800, OptionalLong.empty(), recorded);
    assertThat(leavingSince()).isZero();
    directory.replace(TERM, listing(servers), 11_500, OptionalLong.of(11_400), recorded);
    assertThat(leavingSince()).isEqualTo(9_000);
  }

  // Guards against a drain that is counted from a reading which the list's lag made too late.
  @Example
  void lagOfTheListIsTakenOff() {
    ServerDirectory lagging = new ServerDirectory(Duration.ofMillis(800));
    lagging.replace(TERM, listing(listed()), 10_050, OptionalLong.of(10_000), Map.of());
    lagging.replace(
        TERM, listing(listedWithOneLeaving()), 10_800, OptionalLong.of(10_700), Map.of());
    assertThat(lagging.leavingSince()).containsExactly(Map.entry(LEAVING, 9_200L));
  }

  // Guards against a second life of a server whose drain is counted from its first.
  @Example
  void serverThatIsBackAndLeavesAgainHasANewTime() {
    directory.replace(
        TERM,
        listing(listedWithOneLeaving()),
        10_050,
        OptionalLong.of(10_000),
        Map.of(LEAVING, 9L));
    directory.replace(
        TERM, listing(listed()), 20_050, OptionalLong.of(20_000), Map.of(LEAVING, 9L));
    assertThat(leavingSince()).isZero();
    directory.replace(
        TERM,
        listing(listedWithOneLeaving()),
        30_050,
        OptionalLong.of(30_000),
        Map.of(LEAVING, 9L));
    assertThat(leavingSince()).isEqualTo(20_000);
  }

  private List<BackendServerId> leaving() {
    return directory.servers().stream()
        .filter(GatewayServer::leaving)
        .map(GatewayServer::id)
        .toList();
  }

  /**
   * Guards against entries that use a restarted server as a warm one, and against a change of the
   * list for each of many reports.
   */
  @Example
  void refusedConnectionIsHandedOnAtMostTwiceASecond() {
    replace(TERM, listing(listed()), 0);
    assertThat(directory.reportRefusing(TERM, List.of(LEAVING), 10_000)).isTrue();
    assertThat(directory.reportRefusing(TERM, List.of(LEAVING), 10_499)).isFalse();
    assertThat(replace(TERM, listing(listed()), 10_499)).isFalse();
    assertThat(directory.servers())
        .extracting(GatewayServer::refusedAtMillis)
        .containsExactly(0L, 10_000L, 0L);
    assertThat(directory.reportRefusing(TERM, List.of(LEAVING), 10_500)).isTrue();
    assertThat(directory.reportRefusing(TERM + 1, List.of(LEAVING), 20_000)).isFalse();
  }

  /**
   * Guards against a late list that brings a leaving server back, and against a late replacement.
   */
  @Example
  void reportedServerIsLeavingInThisListAndInLaterOnes() {
    replace(TERM, listing(listed()), 0);
    assertThat(directory.reportLeaving(TERM, List.of(LEAVING))).isTrue();
    assertThat(leaving()).containsExactly(LEAVING);
    assertThat(directory.reportLeaving(TERM, List.of(LEAVING))).isFalse();
    assertThat(replace(TERM, listing(listed()), 0)).isFalse();
    assertThat(leaving()).containsExactly(LEAVING);
  }

  /** Guards against a server that starts under an earlier id being taken for the one that left. */
  @Example
  void reportEndsWhenTheServerIsNoLongerListed() {
    replace(TERM, listing(listed()), 0);
    directory.reportLeaving(TERM, List.of(LEAVING));
    replace(TERM, listing(listed().subList(2, 3)), 0);
    replace(TERM, listing(listed()), 0);
    assertThat(leaving()).isEmpty();
  }

  /** Guards against a sound server that gets no requests because its entry was overwritten. */
  @Example
  void serverWhoseEntryCannotBeReadStaysAsItWas() {
    replace(TERM, listing(listed()), 0);
    ServerListing odd = new ServerListing(listed().subList(0, 2), Set.of(listed().get(2).id()));
    assertThat(replace(TERM, odd, 0)).isFalse();
    assertThat(directory.servers()).isEqualTo(listed());
    replace(TERM + 1, odd, 0);
    assertThat(directory.servers()).isEqualTo(listed().subList(0, 2));
  }

  @Example
  void ofTwoEntriesWithOneIdTheFirstCounts() {
    GatewayServer first = listed().get(0);
    ServerListing twice = new ServerListing(List.of(first, first.asLeaving()), Set.of(first.id()));
    assertThat(twice.servers()).containsExactly(first);
    assertThat(twice.unreadable()).isEmpty();
  }
}
