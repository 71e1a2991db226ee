package org.endivemux.model.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;

/** Checks how remaining cold times become ends that stay the same. */
final class ServerListingTest {
  private static final BackendServerId ID = new BackendServerId("s");
  private static final GatewayServer SERVER =
      new GatewayServer(
          ID, new ServiceName("llm"), "a:1", new FailureDomain("a"), 8, false, ServerKind.STEADY);

  private static List<GatewayServer> read(List<GatewayServer> known, long left, long now) {
    return new ServerListing(List.of(SERVER), Set.of(), Map.of(ID, left)).completedFrom(known, now);
  }

  /** Guards against a change of the list at each reading of one cold period. */
  @Property(tries = 100, seed = "41")
  void lateReadingsOfOnePeriodKeepItsEnd(@ForAll @IntRange(max = 800) int lag) {
    List<GatewayServer> first = read(List.of(SERVER), 3000, 10_000);
    assertThat(first.get(0).coldUntilMillis()).isEqualTo(13_000);
    assertThat(read(first, 2300 + lag, 10_700)).isEqualTo(first);
  }

  /** Guards against an older reading that ends a cold period early. */
  @Example
  void readingWithoutAColdTimeKeepsTheEnd() {
    List<GatewayServer> cold = read(List.of(SERVER), 3000, 10_000);
    assertThat(new ServerListing(List.of(SERVER), Set.of()).completedFrom(cold, 10_700))
        .isEqualTo(cold);
  }

  /** Guards against another cold period that is taken for the first one. */
  @Example
  void anotherPeriodHasItsOwnEnd() {
    List<GatewayServer> cold = read(List.of(SERVER), 3000, 10_000);
    assertThat(read(cold, 3000, 12_000).get(0).coldUntilMillis()).isEqualTo(15_000);
  }

  /** Guards against a version that is forgotten while another writer's entry states none. */
  @Example
  void readingWithoutAVersionKeepsTheKnownOne() {
    Optional<SoftwareVersion> old = Optional.of(new SoftwareVersion("v1"));
    Optional<SoftwareVersion> newer = Optional.of(new SoftwareVersion("v2"));
    List<GatewayServer> known = List.of(SERVER.withVersion(old));
    assertThat(read(known, 0, 0)).isEqualTo(known);
    assertThat(
            new ServerListing(List.of(SERVER.withVersion(newer)), Set.of()).completedFrom(known, 0))
        .containsExactly(SERVER.withVersion(newer));
  }
}
