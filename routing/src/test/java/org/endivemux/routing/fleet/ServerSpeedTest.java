package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.assertj.core.data.Offset;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerReport;

/** Tests the estimate of a server's speed from samples and reports. */
final class ServerSpeedTest {
  private static final Offset<Double> CLOSE = Offset.offset(0.08);

  private static ServerReport report(int percent) {
    return new ServerReport(1, 0, 8, OptionalInt.of(percent));
  }

  @Example
  void slowdownIsNotTakenForStaticSpeedAndFadesWithAge() {
    ServerSpeed speed = new ServerSpeed();
    speed.updateFleetSum(new SpeedAt(1, 1000, Math.round(100_000 * Math.log(1.7)), 100_000), 0);
    speed.reported(report(250), 0);
    assertThat(speed.now(0)).isCloseTo(1.7 / 2.5, CLOSE);
    assertThat(speed.now(600 * Fleet.MILLI)).isBetween(1.0, 1.4);
    assertThat(speed.now(5000 * Fleet.MILLI)).isCloseTo(1.7, CLOSE);
    speed.observe(Math.log(1.7 / 2.5), 0);
    assertThat(speed.shared(1).speedSum()).isCloseTo(53, Offset.offset(1L));
  }

  @Example
  void serverWithoutReportedSlowdownKeepsExactlyUsualSpeed() {
    ServerSpeed speed = new ServerSpeed();
    speed.reported(new ServerReport(1, 0, 8, OptionalInt.empty()), 0);
    speed.observe(1, 0);
    assertThat(speed.now(-5)).isEqualTo(1);
    assertThat(speed.usual()).isEqualTo(1);
  }

  @Example
  void sumOfNewLeaderThatHasHeardOfFewEntriesIsNotTaken() {
    ServerSpeed speed = new ServerSpeed();
    speed.updateFleetSum(new SpeedAt(1, 1000, 53_000, 100_000), 0);
    double known = speed.usual();
    speed.updateFleetSum(new SpeedAt(1, 10, -500, 1000), 1);
    assertThat(speed.usual()).isEqualTo(known);
    speed.updateFleetSum(new SpeedAt(1, 10, -500, 1000), 11_000 * Fleet.MILLI);
    assertThat(speed.usual()).isLessThan(1);
  }

  @Example
  void reportsWithoutSlowdownChangeNoChoice() {
    FleetScheduler silent = scheduler();
    FleetScheduler reporting = scheduler();
    IntStream.range(0, 200)
        .forEach(
            i -> {
              Binding one = bind(silent, i);
              Binding other = bind(reporting, i);
              assertThat(other).isEqualTo(one);
              ServerReport report = new ServerReport(i, 0, 8, OptionalInt.empty());
              assertThat(reporting.reported(other.server().id(), report, i)).isFalse();
              end(silent, one, i);
              end(reporting, other, i);
            });
    assertThat(reporting.nextSpeeds()).isEmpty();
  }

  @Example
  void plainAnswersOfSlowServerLowerItsSpeed() {
    FleetScheduler scheduler = scheduler();
    GatewayServer slow = Fleet.oneInEachDomain().get(0);
    IntStream.range(0, 200)
        .forEach(
            i -> {
              long now = i * (1000L * Fleet.MILLI);
              scheduler.offer(Fleet.job(i, 0, PromptShape.none()));
              Binding bound = scheduler.bind(now).get(0);
              long took = (bound.server().equals(slow) ? 100 : 50) * Fleet.MILLI;
              scheduler.reported(bound.server().id(), report(100), now + took);
              scheduler.ended(bound.job().id(), AttemptResult.OK, now + took);
              scheduler.updateAggregateLoad(List.of(), now);
            });
    List<SpeedAt> speeds = scheduler.nextSpeeds();
    int slowTag = InFlightAt.tag(slow.id());
    double slowest = mean(speeds.stream().filter(at -> at.server() == slowTag).toList());
    double others = mean(speeds.stream().filter(at -> at.server() != slowTag).toList());
    assertThat(slowest).isLessThan(others - 40);
  }

  private static double mean(List<SpeedAt> speeds) {
    return speeds.stream().mapToLong(SpeedAt::speedSum).sum()
        / (double) speeds.stream().mapToInt(SpeedAt::samples).sum();
  }

  private static FleetScheduler scheduler() {
    FleetScheduler scheduler = new FleetScheduler(Fleet.DOMAINS.get(0), Fleet.notices());
    scheduler.updateServices(List.of(Fleet.spec()));
    scheduler.updateServers(Fleet.oneInEachDomain());
    return scheduler;
  }

  private static Binding bind(FleetScheduler scheduler, int number) {
    scheduler.offer(Fleet.job(number, 0, Fleet.prompt("s" + number % 7)));
    return scheduler.bind(number).get(0);
  }

  private static void end(FleetScheduler scheduler, Binding bound, int number) {
    scheduler.firstEventReceived(bound.job().id(), number + 40 * Fleet.MILLI);
    scheduler.ended(bound.job().id(), AttemptResult.OK, number + 80 * Fleet.MILLI);
  }
}
