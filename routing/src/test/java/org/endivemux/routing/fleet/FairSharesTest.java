package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.RequestId;

/** Tests an overload in which one organisation of 24 sends eight times its usual amount. */
final class FairSharesTest {
  private static final int ORGANISATIONS = 24;
  private static final int HOT = 0;
  private static final int HOT_FACTOR = 8;

  /** All organisations but the hot one send 276 requests a second, of 320 that can be served. */
  private static final double USUAL_PER_SECOND = 12;

  private static final int STEP_MILLIS = 5;
  private static final int RUN_MILLIS = 100;
  private static final int WAIT_MILLIS = 400;
  private static final int SECONDS = 10;

  /** Guards against organisations that are refused because another one sends too much. */
  @Property(tries = 5, seed = "21")
  void organisationsWithinTheirShareAreServedWhileOneIsHot(@ForAll long seed) {
    Overload fair = Overload.played(seed, true);
    assertThat(fair.worstOfTheOthers()).isGreaterThan(0.95);
    assertThat(fair.servedShare(HOT)).isBetween(0.3, 0.6);
  }

  /** Guards against a load that is too low to need shares. */
  @Property(tries = 5, seed = "21")
  void withoutProtectionTheOthersPay(@ForAll long seed) {
    Overload unfair = Overload.played(seed, false);
    assertThat(unfair.worstOfTheOthers()).isLessThan(0.9);
  }

  /** Guards against credit for an idle time, with which an organisation would shut others out. */
  @Example
  void returningOrganisationHasItsTurnNowAndNotBefore() {
    OrganisationTurns turns = new OrganisationTurns();
    double turn = 0;
    for (int number = 0; number < 5; number++) {
      turn = turns.next(job(1, number, 0, Set.of()));
      turns.served(turn);
    }
    assertThat(turns.next(job(2, 5, 0, Set.of()))).isEqualTo(turn);
    assertThat(turns.next(job(2, 6, 0, Set.of()))).isGreaterThan(turn);
  }

  /** Guards against an organisation that pays for requests which were refused while they waited. */
  @Example
  void refusedRequestsAreNotCharged() {
    WaitingJobs waiting = new WaitingJobs(service -> true);
    List<FleetJob> refused =
        IntStream.range(0, 100).mapToObj(number -> job(1, number, 0, Set.of())).toList();
    refused.forEach(waiting::add);
    refused.forEach(waiting::remove);
    IntStream.range(0, 3).forEach(i -> waiting.add(job(2, 200 + i, 0, Set.of())));
    waiting.add(job(1, 300, 1, Set.of()));
    assertThat(waiting.queues().iterator().next().stream().map(job -> job.id().value()))
        .containsExactly("r200", "r300", "r201", "r202");
  }

  /** Guards against a retry that pays for its request twice and waits behind new ones. */
  @Example
  void repeatedAttemptHasItsTurnAtOnce() {
    OrganisationTurns turns = new OrganisationTurns();
    IntStream.range(0, 5).forEach(number -> turns.next(job(1, number, 0, Set.of())));
    assertThat(turns.next(job(1, 5, 0, Set.of(Fleet.oneInEachDomain().get(0).id())))).isZero();
  }

  private static FleetJob job(int organisation, int number, long now, Set<BackendServerId> avoid) {
    return new FleetJob(
        new RequestId("r" + number),
        Fleet.LLM,
        1,
        now,
        now + WAIT_MILLIS * Fleet.MILLI,
        new PromptShape("m", 1000, 100, List.of()),
        false,
        0,
        Optional.of(new OrganisationId("o" + organisation)),
        avoid,
        Optional.empty());
  }

  /** One entry and four engines in virtual time. Confined to one thread. */
  private static final class Overload {
    private final Random random;
    private final FleetScheduler scheduler;
    private final Deque<Running> running = new ArrayDeque<>();
    private final Deque<FleetJob> offered = new ArrayDeque<>();
    private final int[] offeredBy = new int[ORGANISATIONS];
    private final int[] servedOf = new int[ORGANISATIONS];
    private long now;
    private int jobs;

    private record Running(RequestId id, long end) {}

    Overload(long seed, boolean isProtected) {
      this.random = new Random(seed);
      this.scheduler =
          new FleetScheduler(
              Fleet.DOMAINS.get(0),
              Fleet.notices(),
              WarmUpLimit.withoutEntries(),
              new OverloadProtection(isProtected, () -> 1));
      scheduler.updateServices(List.of(Fleet.spec()));
      scheduler.updateServers(Fleet.oneInEachDomain());
    }

    static Overload played(long seed, boolean isProtected) {
      Overload simulation = new Overload(seed, isProtected);
      IntStream.range(0, SECONDS * 1000 / STEP_MILLIS).forEach(step -> simulation.step());
      return simulation;
    }

    private void step() {
      now += STEP_MILLIS * Fleet.MILLI;
      while (!running.isEmpty() && running.peek().end() <= now) {
        scheduler.ended(running.remove().id(), AttemptResult.OK, now);
      }
      IntStream.range(0, ORGANISATIONS).forEach(this::arrive);
      while (!offered.isEmpty() && offered.peek().waitDeadline() <= now) {
        scheduler.cancelWaiting(offered.remove());
      }
      scheduler.bind(now).forEach(binding -> started(binding.job()));
    }

    private void arrive(int organisation) {
      double perSecond = USUAL_PER_SECOND * (organisation == HOT ? HOT_FACTOR : 1);
      if (random.nextDouble() < perSecond * STEP_MILLIS / 1000) {
        FleetJob job = job(organisation, jobs++, now, Set.of());
        offeredBy[organisation]++;
        offered.add(job);
        scheduler.offer(job);
      }
    }

    private void started(FleetJob job) {
      servedOf[Integer.parseInt(job.organisation().orElseThrow().value().substring(1))]++;
      scheduler.firstEventReceived(job.id(), now);
      running.add(new Running(job.id(), now + RUN_MILLIS * Fleet.MILLI));
    }

    double servedShare(int organisation) {
      return (double) servedOf[organisation] / offeredBy[organisation];
    }

    double worstOfTheOthers() {
      return IntStream.range(1, ORGANISATIONS).mapToDouble(this::servedShare).min().orElseThrow();
    }
  }
}
