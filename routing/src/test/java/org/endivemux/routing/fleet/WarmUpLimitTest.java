package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.WarmUp;

/** Checks what all entries together send to cold engines. */
final class WarmUpLimitTest {
  private static final WarmUp WARM_UP = new WarmUp(3000, 13);
  private static final double LIMIT = 24.5;

  /** Requests a second that the senders may send a cold engine together. */
  private static final double SAFE_RATE = 0.8 * 13;

  private static final double USED_IN_OVERLOAD = 0.75;
  private static final int PEAK = 480;
  private static final long SECOND = 1000 * Fleet.MILLI;
  private static final VmId SELF = new VmId("10.1.0.0:70");

  private static WarmUpSimulation simulation(long seed, int entries, Optional<WarmUp> warmUp) {
    List<EntryInfo> all = Fleet.live(0, entries);
    return new WarmUpSimulation(seed, entries, warmUp, entry -> all).traffic(PEAK);
  }

  private static WarmUpSimulation cold(long seed, int entries) {
    return simulation(seed, entries, Optional.of(WARM_UP));
  }

  /** Guards against engines that crash when their domain returns cold at the peak. */
  @Property(tries = 10, seed = "311")
  void domainThatReturnsColdStaysWithinItsLimitWith60Entries(@ForAll long seed) {
    var run = cold(seed, 60).domainIsAway(5000, 10_000, false).run(18_000);
    assertThat((double) run.mostInASecond(10_000, 13_000)).isLessThanOrEqualTo(LIMIT);
    assertThat(run.received(17_000, 18_000)).isGreaterThan(25);
  }

  @Property(tries = 10, seed = "312")
  void domainThatReturnsColdStaysWithinItsLimitWith14Entries(@ForAll long seed) {
    var run = cold(seed, 14).domainIsAway(5000, 10_000, false).run(18_000);
    assertThat((double) run.mostInASecond(10_000, 13_000)).isLessThanOrEqualTo(LIMIT);
  }

  /** Guards against cold engines that get too much, or nothing, in an overload. */
  @Property(tries = 10, seed = "313")
  void coldEnginesStayWithinTheirLimitInAnOverload(@ForAll long seed) {
    var run = cold(seed, 60).domainIsAway(5000, 10_000, false).traffic(3 * PEAK).run(14_000);
    assertThat((double) run.mostInASecond(10_000, 13_000)).isLessThanOrEqualTo(LIMIT);
    assertThat(run.received(11_500, 13_000)).isPositive();
  }

  /** Guards against cold engines that wait for work while all others are overloaded. */
  @Property(tries = 10, seed = "313")
  void safeRateOfColdEnginesIsUsedInAnOverload(@ForAll long seed) {
    var run =
        cold(seed, 60)
            .enginesAreSlowedByLoad()
            .domainIsAway(5000, 10_000, false)
            .traffic(3 * PEAK)
            .run(14_000);
    assertThat(run.received(11_500, 13_000) / 1.5).isGreaterThan(SAFE_RATE * USED_IN_OVERLOAD);
  }

  /** Guards against a simulation whose load is too low to exceed the limit. */
  @Example
  void withoutADeclarationColdEnginesGetFarMore() {
    var run = simulation(1, 60, Optional.empty()).domainIsAway(5000, 10_000, false).run(14_000);
    assertThat((double) run.mostInASecond(10_000, 13_000)).isGreaterThan(1.5 * LIMIT);
  }

  /** Guards against restarted entries that each send a first request at once. */
  @Property(tries = 10, seed = "314")
  void restartsOfEntriesKeepTheLimit(@ForAll long seed) {
    var run =
        cold(seed, 60)
            .domainIsAway(5000, 10_000, false)
            .restart(11_700, entry -> entry % 2 == 0)
            .restart(12_300, entry -> true)
            .run(13_000);
    assertThat((double) run.mostInASecond(10_000, 13_000)).isLessThanOrEqualTo(LIMIT);
  }

  /** Guards against two views of the entry list that select different entries. */
  @Property(tries = 10, seed = "315")
  void twoDisjointViewsKeepTheLimit(@ForAll long seed) {
    List<EntryInfo> first = Fleet.live(0, 30);
    List<EntryInfo> second = Fleet.live(30, 60);
    var run =
        new WarmUpSimulation(seed, 60, Optional.of(WARM_UP), entry -> entry < 30 ? first : second)
            .traffic(PEAK)
            .domainIsAway(5000, 10_000, false)
            .run(14_000);
    assertThat((double) run.mostInASecond(10_000, 13_000)).isLessThanOrEqualTo(LIMIT);
  }

  /** Guards against an engine that turns cold without a restart, once the list has shown it. */
  @Property(tries = 10, seed = "316")
  void enginesThatTurnColdStayWithinTheirLimitOnceListed(@ForAll long seed) {
    var run = cold(seed, 60).domainTurnsCold(7000).run(12_000);
    assertThat((double) run.mostInASecond(8_500, 10_000)).isLessThanOrEqualTo(LIMIT);
  }

  /** Guards against a backlog of an entry that was frozen, and against any other burst. */
  @Example
  void timeThatPassesGrantsOneRequest() {
    WarmUpLimit limit = limit(Fleet.live(0, 1));
    limit.updateServers(listed(20_000), 0, 0);
    assertThat(slots(limit, 0)).isZero();
    assertThat(slots(limit, 8 * SECOND)).isEqualTo(8);
    limit.sent(server().id(), 8 * SECOND);
    assertThat(slots(limit, 8 * SECOND + 90 * Fleet.MILLI)).isZero();
    assertThat(slots(limit, 8 * SECOND + 100 * Fleet.MILLI)).isEqualTo(8);
  }

  /** Guards against requests of an entry that knows no list of entries, or is not in it. */
  @Example
  void entryWithoutAListOfEntriesSendsNothing() {
    for (List<EntryInfo> view : List.of(Fleet.live(0, 0), Fleet.live(1, 9))) {
      WarmUpLimit limit = limit(view);
      limit.updateServers(listed(20_000), 0, 0);
      assertThat(slots(limit, 8 * SECOND)).isZero();
    }
  }

  /** Guards against a list read before a failure that ends the suspicion after it. */
  @Example
  void listThatIsOlderThanAFailureDoesNotEndTheColdTime() {
    WarmUpLimit limit = limit(Fleet.live(1, 9));
    limit.updateServers(listed(0), 0, 0);
    assertThat(slots(limit, SECOND)).isEqualTo(8);
    limit.ended(server().id(), AttemptResult.FAILED, 2 * SECOND);
    limit.updateServers(listed(2100), 2 * SECOND, 2000);
    assertThat(slots(limit, 6400 * Fleet.MILLI)).isZero();
    assertThat(slots(limit, 8600 * Fleet.MILLI)).isEqualTo(8);
  }

  /** Guards against all entries returning at once to a domain whose evacuation has ended. */
  @Example
  void evacuatedDomainIsColdOrGrowsInSteps() {
    List<EntryInfo> view = Fleet.live(0, 1);
    WarmUpLimit limit = limit(view);
    limit.updateServers(listed(0), 0, 0);
    limit.evacuationEnded(server().failureDomain(), 2 * SECOND);
    limit.sent(server().id(), 2 * SECOND);
    assertThat(slots(limit, 2 * SECOND + 1)).isZero();
    assertThat(limit.coldCount(6 * SECOND)).isEqualTo(1);
    assertThat(limit.coldCount(6500 * Fleet.MILLI)).isZero();
    limit.updateServices(List.of(Fleet.spec()));
    assertThat(slots(limit, 2 * SECOND)).isEqualTo(1);
    assertThat(slots(limit, 3 * SECOND)).isEqualTo(4);
    assertThat(slots(limit, 4 * SECOND)).isEqualTo(8);
  }

  /** Guards against any effect on a service without cold engines. */
  @Example
  void serviceWithoutADeclarationIsNotLimited() {
    WarmUpLimit limit = limit(List.of());
    limit.updateServices(List.of(Fleet.spec()));
    limit.updateServers(Fleet.oneInEachDomain().subList(1, 4), 0, 0);
    limit.updateServers(listed(20_000), SECOND, 0);
    limit.ended(server().id(), AttemptResult.FAILED, SECOND);
    assertThat(slots(limit, SECOND)).isEqualTo(8);
    assertThat(limit.takeDecisions()).isEmpty();
    assertThat(limit.isWarmingUp(SECOND)).isFalse();
  }

  /** Guards against declarations for which the senders of two views exceed the limit. */
  @Property(tries = 1000, seed = "317")
  void twoViewsKeepEveryLimit(
      @ForAll @DoubleRange(min = 0.1, max = 200) double rate,
      @ForAll @DoubleRange(min = 2, max = 400) double limit) {
    ColdPace pace = ColdPace.of(new WarmUp(3000, rate), limit, 60);
    long inASecond = SECOND / pace.intervalNanos() + 1;
    assertThat(2.0 * pace.senders() * inASecond).isLessThanOrEqualTo(limit);
  }

  private static WarmUpLimit limit(List<EntryInfo> view) {
    WarmUpLimit limit = new WarmUpLimit(SELF, () -> view, new WarmUpLimit.Bounds(1.5, 5));
    limit.updateServices(
        List.of(
            new ServiceSpec(
                Fleet.LLM, 100, Optional.empty(), Optional.empty(), Optional.of(WARM_UP))));
    return limit;
  }

  private static GatewayServer server() {
    return Fleet.oneInEachDomain().get(0);
  }

  private static List<GatewayServer> listed(long coldUntilMillis) {
    return List.of(server().coldUntil(coldUntilMillis));
  }

  private static int slots(WarmUpLimit limit, long now) {
    return limit.usableSlots(server().id(), 8, now);
  }
}
