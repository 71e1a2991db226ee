package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.SoftwareVersion;

/** Checks which requests a server that leaves still gets, and until when. */
final class DrainingServerTest {
  private static final FailureDomain DOMAIN = new FailureDomain("d");
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v2");
  private static final int SLOTS = 2;
  private static final long MILLI = 1_000_000L;
  private static final long DRAIN_MILLIS = 3000;

  /** Monotonic and true time differ by this. */
  private static final long UNIX_MILLIS = 1_800_000_000_000L;

  private final ServerNotices notices = new ServerNotices(Duration.ofMinutes(1));
  private final FleetScheduler scheduler = scheduler(false);
  private int jobs;

  private FleetScheduler scheduler(boolean isOverloadProtected) {
    IntSupplier entries = () -> 1;
    return new FleetScheduler(
        DOMAIN,
        notices,
        Duration.ofMillis(DRAIN_MILLIS),
        WarmUpLimit.withoutEntries(),
        StatedLimits.withoutEntries(),
        new OverloadProtection(isOverloadProtected, entries));
  }

  private static GatewayServer server(String id, SoftwareVersion version) {
    return new GatewayServer(
            new BackendServerId(id), Fleet.LLM, id + ":1", DOMAIN, SLOTS, false, ServerKind.STEADY)
        .withVersion(Optional.of(version));
  }

  /** Returns a server of the old version that leaves since a time on the monotonic clock. */
  private static GatewayServer leaving(String id, long sinceMillis) {
    return server(id, OLD).leavingSince(UNIX_MILLIS + sinceMillis);
  }

  private void list(FleetScheduler scheduler, long nowMillis, GatewayServer... listed) {
    scheduler.updateServers(List.of(listed), nowMillis * MILLI, UNIX_MILLIS + nowMillis);
  }

  private FleetJob job(Optional<SoftwareVersion> version, Set<BackendServerId> avoid) {
    return Fleet.jobOfVersion("job" + jobs++, version, avoid);
  }

  private FleetJob continued() {
    return job(Optional.of(OLD), Set.of());
  }

  private List<String> bind(FleetScheduler scheduler, FleetJob job, long nowMillis) {
    scheduler.offer(job);
    return scheduler.bind(nowMillis * MILLI).stream()
        .map(binding -> binding.server().id().value())
        .toList();
  }

  private boolean isRefused(long nowMillis) {
    return !scheduler.removeWithoutVersion(nowMillis * MILLI).isEmpty();
  }

  // Guards against a stream that is refused although a server of its version still serves.
  @Example
  void continuedStreamGoesToAServerThatLeaves() {
    list(scheduler, 1000, leaving("old", 500), server("new", NEW));
    assertThat(bind(scheduler, continued(), 1000)).containsExactly("old");
  }

  // Guards against new work at a server that leaves.
  @Example
  void newRequestsNeverGoToAServerThatLeaves() {
    list(scheduler, 1000, leaving("old", 500));
    assertThat(bind(scheduler, job(Optional.empty(), Set.of()), 1000)).isEmpty();
    assertThat(scheduler.bindNow(continued(), Long.MAX_VALUE, 1000 * MILLI)).isEmpty();
  }

  // Guards against a server that leaves being used while another one of its version is ready.
  @Example
  void readyServerIsTakenBeforeOneThatLeaves() {
    list(scheduler, 1000, leaving("leaving", 500), server("ready", OLD));
    assertThat(bind(scheduler, continued(), 1000)).containsExactly("ready");
    assertThat(bind(scheduler, continued(), 1000)).containsExactly("ready");
    assertThat(bind(scheduler, continued(), 1000)).isEmpty();
    assertThat(isRefused(1000)).isFalse();
  }

  // Guards against a stream that cannot go on, since the only ready server has just failed it.
  @Example
  void streamThatAvoidsTheReadyServerGoesToOneThatLeaves() {
    list(scheduler, 1000, leaving("leaving", 500), server("ready", OLD));
    FleetJob job = job(Optional.of(OLD), Set.of(new BackendServerId("ready")));
    assertThat(bind(scheduler, job, 1000)).containsExactly("leaving");
  }

  // Guards against requests that reach a server after its drain has ended, however late its list
  // is.
  @Property(tries = 500, seed = "20261214")
  void nothingIsBoundOrSentAfterTheDrain(@ForAll long seed) {
    Random random = new Random(seed);
    FleetScheduler fresh = scheduler(false);
    long since = random.nextInt(5000);
    long end = since + DRAIN_MILLIS;
    long listedAt = since + random.nextInt(4000);
    long now = listedAt + random.nextInt(4000);
    list(fresh, listedAt, leaving("old", since));
    FleetJob job = continued();
    fresh.offer(job);
    List<Binding> bound = fresh.bind(now * MILLI);
    assertThat(bound.isEmpty() || now < end).isTrue();
    assertThat(fresh.removeWithoutVersion(now * MILLI)).hasSize(1 - bound.size());
    Binding binding = new Binding(job, leaving("old", since), Optional.empty(), 0);
    assertThat(fresh.isOpen(binding, Math.max(listedAt, end) * MILLI)).isFalse();
  }

  private boolean isOpen(GatewayServer server, long nowMillis) {
    Binding binding = new Binding(continued(), server, Optional.empty(), 0);
    return scheduler.isOpen(binding, nowMillis * MILLI);
  }

  // Guards against an entry that was told late, or by an earlier build, and that guesses the time.
  @Example
  void serverThatLeavesSinceAnUnknownTimeGetsNothing() {
    list(scheduler, 1000, server("old", OLD).asLeaving());
    assertThat(bind(scheduler, continued(), 1000)).isEmpty();
    assertThat(isRefused(1000)).isTrue();
  }

  // Guards against a drain that is prolonged by a clock that was set, or by a list of a new leader.
  @Example
  void endOfADrainNeverMovesToALaterTime() {
    GatewayServer old = leaving("old", 500);
    list(scheduler, 1000, old);
    scheduler.updateServers(List.of(old), 1000 * MILLI, UNIX_MILLIS - 4000);
    assertThat(isOpen(old, 1000)).isTrue();
    assertThat(isOpen(old, 500 + DRAIN_MILLIS)).isFalse();
    list(scheduler, 1500, server("old", OLD).asLeaving());
    assertThat(isOpen(old, 1500)).isTrue();
    assertThat(isOpen(old, 500 + DRAIN_MILLIS)).isFalse();
  }

  // Guards against a request that was bound in time and is sent too late.
  @Example
  void boundStreamIsNotSentAfterTheDrain() {
    GatewayServer old = leaving("old", 500);
    list(scheduler, 1000, old);
    assertThat(isOpen(old, 1000)).isTrue();
    assertThat(isOpen(old, 500 + DRAIN_MILLIS)).isFalse();
  }

  // Guards against a server that is used beyond the time that it has told itself.
  @Example
  void serverThatSaidThatItLeavesHasItsOwnEnd() {
    list(scheduler, 0, server("old", OLD));
    notices.leaves(new BackendServerId("old"), 0);
    assertThat(bind(scheduler, continued(), 1000)).containsExactly("old");
    list(scheduler, 2000, leaving("old", 1900));
    assertThat(isOpen(leaving("old", 1900), 2000)).isTrue();
    assertThat(isOpen(leaving("old", 1900), DRAIN_MILLIS)).isFalse();
  }

  // Guards against streams in a domain that operators have evacuated.
  @Example
  void evacuatedServerGetsNothing() {
    list(scheduler, 1000, leaving("old", 500));
    scheduler.updateEvacuated(Set.of(DOMAIN));
    assertThat(bind(scheduler, continued(), 1000)).isEmpty();
    assertThat(isRefused(1000)).isTrue();
  }

  // Guards against a refusal of streams that only wait for a slot, and against an endless wait.
  @Example
  void streamWaitsForRoomUntilTheDrainEnds() {
    list(scheduler, 1000, leaving("old", 500), server("new", NEW));
    IntStream.range(0, SLOTS)
        .forEach(i -> assertThat(bind(scheduler, continued(), 1000)).hasSize(1));
    assertThat(bind(scheduler, continued(), 1000)).isEmpty();
    assertThat(isRefused(1000)).isFalse();
    assertThat(scheduler.awaitsTime(1000 * MILLI)).isTrue();
    assertThat(isRefused(500 + DRAIN_MILLIS)).isTrue();
  }

  // Guards against a server that has asked for a pause and gets streams all the same.
  @Example
  void pausedServerThatLeavesGetsNothingInItsPause() {
    list(scheduler, 1000, leaving("old", 500));
    notices.pauses(new BackendServerId("old"), Duration.ofSeconds(1), 1000 * MILLI);
    assertThat(bind(scheduler, continued(), 1500)).isEmpty();
    assertThat(isRefused(1500)).isFalse();
  }

  // Guards against overload protection that knows only servers that are open.
  @Example
  void continuedStreamGoesOnUnderOverloadProtection() {
    FleetScheduler guarded = scheduler(true);
    guarded.updateServices(List.of(Fleet.spec()));
    list(guarded, 1000, leaving("old", 500), server("new", NEW));
    assertThat(bind(guarded, continued(), 1000)).containsExactly("old");
  }

  // Guards against use of servers that leave where it is switched off.
  @Example
  void withoutADrainTimeNothingGoesToServersThatLeave() {
    FleetScheduler without =
        new FleetScheduler(
            DOMAIN,
            notices,
            Duration.ZERO,
            WarmUpLimit.withoutEntries(),
            StatedLimits.withoutEntries(),
            OverloadProtection.off());
    list(without, 1000, leaving("old", 500));
    assertThat(bind(without, continued(), 1000)).isEmpty();
  }
}
