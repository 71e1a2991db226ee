package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.routing.fleet.CapacityPlanner.Target;

/** Tests the targets for a constant load, for bursts and when a domain is reclaimed. */
final class CapacityPlannerTest {
  private static final ServiceSpec SPACIOUS = Fleet.spec(20);

  private static List<Target> settled(CapacityPlanner planner, int load, List<GatewayServer> now) {
    IntStream.range(0, 40).forEach(i -> planner.plan(Fleet.spec(), load, now));
    return planner.plan(Fleet.spec(), load, now);
  }

  private static int sum(List<Target> targets, ServerKind kind) {
    return targets.stream().filter(t -> t.kind() == kind).mapToInt(Target::count).sum();
  }

  @Example
  void steadyServersStayUntilSpotServersServe() {
    List<Target> targets = new CapacityPlanner().plan(Fleet.spec(), 10, Fleet.oneInEachDomain());
    assertThat(sum(targets, ServerKind.STEADY)).isEqualTo(4);
    assertThat(sum(targets, ServerKind.CHEAP)).isGreaterThanOrEqualTo(4);
  }

  @Example
  void spotServersAloneCarryALightLoad() {
    List<Target> targets = settled(new CapacityPlanner(), 10, Fleet.spot(2));
    assertThat(sum(targets, ServerKind.STEADY)).isZero();
  }

  @Property(tries = 60, seed = "9")
  void boundsHoldForBothKindsTogether(@ForAll @IntRange(min = 0, max = 2000) int load) {
    List<Target> targets = settled(new CapacityPlanner(), load, Fleet.oneInEachDomain());
    Fleet.DOMAINS.forEach(domain -> assertThat(inDomain(targets, domain)).isBetween(1, 6));
  }

  private static int inDomain(List<Target> targets, FailureDomain domain, ServerKind kind) {
    return targets.stream()
        .filter(target -> target.failureDomain().equals(domain) && target.kind() == kind)
        .mapToInt(Target::count)
        .sum();
  }

  private static int inDomain(List<Target> targets, FailureDomain domain) {
    return targets.stream()
        .filter(target -> target.failureDomain().equals(domain))
        .mapToInt(Target::count)
        .sum();
  }

  @Property(tries = 30, seed = "10")
  void monthEndBurstLeavesEnoughWhenADomainIsReclaimed(
      @ForAll @IntRange(min = 0, max = 90) int load) {
    List<Target> targets = settled(new CapacityPlanner(), load, Fleet.spot(2));
    int largest =
        Fleet.DOMAINS.stream().mapToInt(domain -> inDomain(targets, domain)).max().orElse(0);
    int left = targets.stream().mapToInt(Target::count).sum() - largest;
    assertThat(left * 6).isGreaterThanOrEqualTo(load);
  }

  @Example
  void initialServerCountIsRetainedUntilLoadIsKnown() {
    List<GatewayServer> setUp =
        IntStream.range(0, 20)
            .mapToObj(i -> Fleet.server(i, Fleet.DOMAINS.get(i % 4), ServerKind.STEADY, false))
            .toList();
    CapacityPlanner planner = new CapacityPlanner();
    planner.plan(SPACIOUS, 0, setUp.subList(0, 3));
    IntStream.range(0, 20).forEach(i -> planner.plan(SPACIOUS, 0, setUp));
    List<Target> unknown = planner.plan(SPACIOUS, 0, setUp);
    Fleet.DOMAINS.forEach(
        domain -> assertThat(inDomain(unknown, domain, ServerKind.CHEAP)).isEqualTo(5));
    IntStream.range(0, 60).forEach(i -> planner.plan(SPACIOUS, 1, setUp));
    assertThat(sum(planner.plan(SPACIOUS, 1, setUp), ServerKind.CHEAP)).isEqualTo(12);
  }

  @Example
  void steadyServersAreOrderedWhenTooFewServersAreLeft() {
    List<GatewayServer> left =
        Fleet.spot(1).stream()
            .filter(server -> server.failureDomain().equals(Fleet.DOMAINS.get(0)))
            .toList();
    List<Target> targets = settled(new CapacityPlanner(), 60, left);
    assertThat(sum(targets, ServerKind.STEADY)).isPositive();
  }
}
