package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
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
    IntStream.range(0, 40).forEach(i -> planner.plan(Fleet.spec(), load, now, Set.of()));
    return planner.plan(Fleet.spec(), load, now, Set.of());
  }

  private static int sum(List<Target> targets, ServerKind kind) {
    return targets.stream().filter(t -> t.kind() == kind).mapToInt(Target::count).sum();
  }

  @Example
  void steadyServersStayUntilSpotServersServe() {
    List<Target> targets =
        new CapacityPlanner().plan(Fleet.spec(), 10, Fleet.oneInEachDomain(), Set.of());
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

  /** Guards against capacity that is ordered elsewhere only when the load arrives there. */
  @Example
  void otherDomainsReplaceAnEvacuatedOneAtOnce() {
    CapacityPlanner planner = new CapacityPlanner();
    List<Target> before = settled(planner, 30, Fleet.spot(4));
    FailureDomain evacuated = Fleet.DOMAINS.get(0);
    List<Target> targets = planner.plan(Fleet.spec(), 30, Fleet.spot(4), Set.of(evacuated));
    assertThat(inDomain(targets, evacuated)).isEqualTo(1);
    assertThat(targets.get(targets.size() - 1).failureDomain()).isEqualTo(evacuated);
    Fleet.DOMAINS.stream()
        .skip(1)
        .forEach(
            domain ->
                assertThat(inDomain(targets, domain))
                    .isGreaterThan(inDomain(before, domain))
                    .isLessThanOrEqualTo(6));
  }

  /** Guards against an evacuated domain without the servers with which it comes back. */
  @Example
  void evacuatedDomainsKeepTheirMinimum() {
    List<Target> targets =
        new CapacityPlanner()
            .plan(Fleet.spec(), 60, Fleet.oneInEachDomain(), Set.copyOf(Fleet.DOMAINS));
    Fleet.DOMAINS.forEach(
        domain -> assertThat(inDomain(targets, domain, ServerKind.STEADY)).isEqualTo(1));
    assertThat(sum(targets, ServerKind.CHEAP)).isZero();
  }

  @Example
  void initialServerCountIsRetainedUntilLoadIsKnown() {
    List<GatewayServer> setUp =
        IntStream.range(0, 20)
            .mapToObj(i -> Fleet.server(i, Fleet.DOMAINS.get(i % 4), ServerKind.STEADY, false))
            .toList();
    CapacityPlanner planner = new CapacityPlanner();
    planner.plan(SPACIOUS, 0, setUp.subList(0, 3), Set.of());
    IntStream.range(0, 20).forEach(i -> planner.plan(SPACIOUS, 0, setUp, Set.of()));
    List<Target> unknown = planner.plan(SPACIOUS, 0, setUp, Set.of());
    Fleet.DOMAINS.forEach(
        domain -> assertThat(inDomain(unknown, domain, ServerKind.CHEAP)).isEqualTo(5));
    IntStream.range(0, 60).forEach(i -> planner.plan(SPACIOUS, 1, setUp, Set.of()));
    assertThat(sum(planner.plan(SPACIOUS, 1, setUp, Set.of()), ServerKind.CHEAP)).isEqualTo(12);
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
