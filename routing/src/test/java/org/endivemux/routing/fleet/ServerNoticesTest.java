package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.BackendServerId;

/** Checks that servers get nothing after they said that they leave, or while they are paused. */
final class ServerNoticesTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int ENTRIES = 6;
  private static final int SERVERS = 12;
  private static final double GAP_MILLIS = 8;
  private static final BackendServerId SERVER = new BackendServerId("s1");

  private final ServerNotices notices = new ServerNotices(Duration.ofSeconds(60));

  private static NoticeSimulation simulation(long seed, boolean heeds) {
    return new NoticeSimulation(seed, heeds, ENTRIES, SERVERS).traffic(GAP_MILLIS);
  }

  /** Guards against requests to servers that said long ago that they leave. */
  @Property(tries = 10, seed = "271")
  void rollingDrainOfAThirdOfTheFleetSendsNothingAgainstNotice(@ForAll long seed) {
    var figures = simulation(seed, true).drain(SERVERS / 3, 2000, 1500).run(20_000);
    assertThat(figures.againstNotice()).isZero();
    assertThat(figures.refused()).isZero();
  }

  /** Guards against requests to servers that asked for a pause. */
  @Property(tries = 10, seed = "272")
  void refusalStormSendsNothingAgainstNotice(@ForAll long seed) {
    var figures = simulation(seed, true).refuse(2000, 8000).run(20_000);
    assertThat(figures.againstNotice()).isZero();
  }

  /** Guards against either notice being forgotten while the other is given. */
  @Property(tries = 10, seed = "273")
  void drainDuringARefusalStormSendsNothingAgainstNotice(@ForAll long seed) {
    var figures =
        simulation(seed, true).drain(SERVERS / 3, 2000, 1500).refuse(3000, 9000).run(20_000);
    assertThat(figures.againstNotice()).isZero();
  }

  /** Guards against a server that gets all waiting requests at the end of its pause. */
  @Example
  void pausedServerGetsBackToItsSlotsInSteps() {
    notices.pauses(SERVER, Duration.ofSeconds(2), 0);
    assertThat(notices.usableSlots(SERVER, 64, 2 * SECOND - 1)).isZero();
    assertThat(notices.usableSlots(SERVER, 64, 2 * SECOND)).isEqualTo(1);
    assertThat(notices.usableSlots(SERVER, 64, 2 * SECOND + SECOND / 4)).isEqualTo(32);
    assertThat(notices.usableSlots(SERVER, 64, 3 * SECOND)).isEqualTo(64);
  }

  /** Guards against a server that asks by mistake for a pause of years. */
  @Example
  void pauseIsBounded() {
    notices.pauses(SERVER, Duration.ofDays(1000), 0);
    assertThat(notices.usableSlots(SERVER, 8, 59 * SECOND)).isZero();
    assertThat(notices.usableSlots(SERVER, 8, 61 * SECOND)).isEqualTo(8);
  }

  /** Guards against a shorter pause, told by another response, ending a longer one. */
  @Example
  void longestPauseHolds() {
    notices.pauses(SERVER, Duration.ofSeconds(4), 0);
    notices.pauses(SERVER, Duration.ofSeconds(1), SECOND);
    assertThat(notices.usableSlots(SERVER, 8, 3 * SECOND)).isZero();
  }

  /** Guards against a list that still shows a leaving server as sound bringing it back. */
  @Example
  void leavingServerStaysUnusedWhateverTheListSays() {
    FleetScheduler scheduler = new FleetScheduler(Fleet.DOMAINS.get(0), notices);
    scheduler.updateServices(List.of(Fleet.spec()));
    scheduler.updateServers(Fleet.oneInEachDomain());
    Fleet.oneInEachDomain().stream().skip(1).forEach(server -> notices.leaves(server.id(), 0));
    scheduler.updateServers(List.of());
    scheduler.updateServers(Fleet.oneInEachDomain());
    for (int i = 0; i < 4; i++) {
      scheduler.offer(Fleet.job(i, 1, PromptShape.none()));
    }
    assertThat(scheduler.bind(0))
        .hasSize(4)
        .allMatch(binding -> binding.server().equals(Fleet.oneInEachDomain().get(0)));
  }

  /** Guards against early refusals while one server of the service takes requests. */
  @Example
  void serviceIsPausedOnlyWhileAllOfItsServersAre() {
    FleetScheduler scheduler = new FleetScheduler(Fleet.DOMAINS.get(0), notices);
    scheduler.updateServices(List.of(Fleet.spec()));
    scheduler.updateServers(Fleet.oneInEachDomain());
    Fleet.oneInEachDomain().stream()
        .skip(1)
        .forEach(server -> notices.pauses(server.id(), Duration.ofSeconds(3), 0));
    assertThat(scheduler.pausedUntil(Fleet.LLM, 0)).isEmpty();
    notices.pauses(Fleet.oneInEachDomain().get(0).id(), Duration.ofSeconds(2), 0);
    assertThat(scheduler.pausedUntil(Fleet.LLM, 0)).hasValue(2 * SECOND);
    assertThat(scheduler.pausedUntil(Fleet.LLM, 2 * SECOND)).isEmpty();
  }
}
