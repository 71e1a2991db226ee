package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.ServiceLoad;

/** Tests which jobs are bound, in which order and to which server. */
final class FleetSchedulerTest {
  private static FleetScheduler scheduler() {
    FleetScheduler scheduler = new FleetScheduler(Fleet.DOMAINS.get(0), Fleet.notices());
    scheduler.updateServices(List.of(Fleet.spec()));
    return scheduler;
  }

  private static Binding bindOne(FleetScheduler scheduler, FleetJob job, long now) {
    scheduler.offer(job);
    return scheduler.bind(now).get(0);
  }

  @Example
  void laterButMoreUrgentJobsGoFirst() {
    FleetScheduler scheduler = scheduler();
    scheduler.offer(Fleet.job(1, 2, PromptShape.none()));
    scheduler.offer(Fleet.job(2, 0, PromptShape.none()));
    scheduler.updateServers(Fleet.oneInEachDomain());
    assertThat(scheduler.bind(0)).extracting(it -> it.job().urgency()).containsExactly(0, 2);
  }

  @Example
  void nothingIsBoundBeyondTheSlots() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    IntStream.range(0, 50).forEach(i -> scheduler.offer(Fleet.job(i, 1, PromptShape.none())));
    assertThat(scheduler.bind(0)).hasSize(32);
    assertThat(scheduler.loads()).extracting(ServiceLoad::requests).containsExactly(50);
  }

  @Example
  void leavingServerGetsNoJobs() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(
        List.of(
            Fleet.server(0, Fleet.DOMAINS.get(0), ServerKind.CHEAP, true),
            Fleet.server(1, Fleet.DOMAINS.get(1), ServerKind.CHEAP, false)));
    Binding bound = bindOne(scheduler, Fleet.job(1, 0, PromptShape.none()), 0);
    assertThat(bound.server().id().value()).isEqualTo("s1");
  }

  /** Guards against requests, retries and copies that still use an evacuated domain. */
  @Example
  void evacuatedDomainGetsNoJobsAndIsNotCopiedFrom() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    Binding first = bindOne(scheduler, Fleet.job(1, 0, Fleet.prompt("s")), 0);
    FailureDomain evacuated = first.server().failureDomain();
    scheduler.updateEvacuated(Set.of(evacuated));
    IntStream.range(2, 60).forEach(i -> scheduler.offer(Fleet.job(i, 0, Fleet.prompt("s"))));
    List<Binding> bound = scheduler.bind(Fleet.MILLI);
    assertThat(bound)
        .hasSize(24)
        .noneMatch(it -> it.server().failureDomain().equals(evacuated))
        .noneMatch(it -> it.copyFrom().filter(first.server()::equals).isPresent());
    assertThat(scheduler.removeEvacuated()).isEmpty();
  }

  /** Guards against requests without an outcome when every domain is evacuated. */
  @Example
  void waitingJobsAreRemovedWhenEveryDomainIsEvacuated() {
    FleetScheduler scheduler = scheduler();
    scheduler.offer(Fleet.job(1, 0, PromptShape.none()));
    assertThat(scheduler.removeEvacuated()).isEmpty();
    scheduler.updateServers(Fleet.oneInEachDomain());
    scheduler.updateEvacuated(Set.copyOf(Fleet.DOMAINS));
    assertThat(scheduler.bind(0)).isEmpty();
    assertThat(scheduler.removeEvacuated()).hasSize(1);
    assertThat(scheduler.loads()).allMatch(load -> load.requests() == 0);
  }

  /** Guards against a jump of load to a domain when its evacuation ends. */
  @Example
  void slotsOfAReturningDomainGrow() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain().subList(0, 1), 0, 0);
    scheduler.updateEvacuated(Set.of(Fleet.DOMAINS.get(0)));
    scheduler.updateEvacuated(Set.of());
    scheduler.evacuationEnded(Fleet.DOMAINS.get(0), 0);
    IntStream.range(0, 20).forEach(i -> scheduler.offer(Fleet.job(i, 0, PromptShape.none())));
    assertThat(scheduler.bind(0)).hasSize(1);
    assertThat(scheduler.bind(1000 * Fleet.MILLI)).hasSize(3);
    assertThat(scheduler.bind(2000 * Fleet.MILLI)).hasSize(4);
  }

  @Example
  void failedServerIsInBackoffWhileAnotherHasCapacity() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    Binding first = bindOne(scheduler, Fleet.job(1, 0, PromptShape.none()), 0);
    scheduler.ended(first.job().id(), AttemptResult.FAILED, 0);
    Binding second = bindOne(scheduler, Fleet.job(2, 0, PromptShape.none()), Fleet.MILLI);
    assertThat(second.server()).isNotEqualTo(first.server());
  }

  @Example
  void fullServerIsInBackoffWhileAnotherHasCapacity() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    Binding first = bindOne(scheduler, Fleet.job(1, 0, Fleet.prompt("s")), 0);
    scheduler.ended(first.job().id(), AttemptResult.FULL, 0);
    Binding second = bindOne(scheduler, Fleet.job(2, 0, Fleet.prompt("s")), Fleet.MILLI);
    assertThat(second.server()).isNotEqualTo(first.server());
  }

  @Example
  void entriesPreferTheSameServerForASessionWithoutCommunicating() {
    Map<String, String> preferred = new HashMap<>();
    IntStream.range(0, 40)
        .forEach(
            i -> {
              FleetScheduler scheduler = scheduler();
              scheduler.updateServers(Fleet.oneInEachDomain());
              String session = "session" + i % 20;
              Binding bound = bindOne(scheduler, Fleet.job(i, 0, Fleet.prompt(session)), 0);
              String before = preferred.putIfAbsent(session, bound.server().id().value());
              assertThat(before).isIn(null, bound.server().id().value());
            });
    assertThat(preferred.values().stream().distinct().count()).isGreaterThan(2);
  }

  @Example
  void sharedPartsAreCopiedFromTheServerThatHasThem() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    Binding first = bindOne(scheduler, Fleet.job(1, 0, Fleet.prompt("s")), 0);
    scheduler.ended(first.job().id(), AttemptResult.FAILED, 0);
    Binding second = bindOne(scheduler, Fleet.job(2, 0, Fleet.prompt("s")), Fleet.MILLI);
    Binding third = bindOne(scheduler, Fleet.job(3, 0, Fleet.prompt("s")), Fleet.MILLI);
    assertThat(second.copyFrom()).contains(first.server());
    assertThat(third.server()).isEqualTo(second.server());
    assertThat(third.copyFrom()).isEmpty();
  }

  @Example
  void loadOfOtherEntriesCounts() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    List<InFlightAt> theirs =
        Fleet.oneInEachDomain().stream()
            .skip(1)
            .map(server -> new InFlightAt(InFlightAt.tag(server.id()), 8, 0))
            .toList();
    scheduler.peerDigest("other", theirs, 0);
    IntStream.range(0, 12).forEach(i -> scheduler.offer(Fleet.job(i, 1, PromptShape.none())));
    assertThat(scheduler.bind(0)).hasSize(8);
  }

  @Example
  void loadOfASilentEntryExpires() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    List<InFlightAt> theirs =
        Fleet.oneInEachDomain().stream()
            .map(server -> new InFlightAt(InFlightAt.tag(server.id()), 8, 0))
            .toList();
    scheduler.peerDigest("other", theirs, 0);
    scheduler.offer(Fleet.job(1, 1, PromptShape.none()));
    assertThat(scheduler.bind(1499 * Fleet.MILLI)).isEmpty();
    assertThat(scheduler.bind(1500 * Fleet.MILLI)).hasSize(1);
  }

  /** Guards against hedges that overtake requests which wait for the first free slot. */
  @Example
  void jobIsNotBoundAtOnceWhileOthersOfItsServiceWait() {
    FleetScheduler scheduler = scheduler();
    FleetJob waiting = Fleet.job(1, 1, PromptShape.none());
    scheduler.offer(waiting);
    scheduler.updateServers(Fleet.oneInEachDomain());
    FleetJob job = Fleet.job(2, 0, PromptShape.none());
    assertThat(scheduler.bindNow(job, Fleet.MILLI, 0)).isEmpty();
    scheduler.cancelWaiting(waiting);
    assertThat(scheduler.bindNow(job, Fleet.MILLI, 0)).isPresent();
  }

  /** Guards against hedges that end later than the attempt which they are to overtake. */
  @Example
  void jobIsNotBoundAtOnceWhenItsPrefillTakesTooLong() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    FleetJob job = Fleet.job(1, 0, Fleet.prompt("s"));
    assertThat(scheduler.bindNow(job, 30 * Fleet.MILLI, 0)).isEmpty();
    assertThat(scheduler.loads()).as("nothing is left running").isEmpty();
    assertThat(scheduler.bindNow(job, 50 * Fleet.MILLI, 0)).isPresent();
  }

  /** Guards against hedges that wait in the queues of engines without a free slot. */
  @Example
  void jobIsNotBoundAtOnceToAnEngineWithoutAFreeSlotInALargeFleet() {
    FleetScheduler scheduler = scheduler();
    scheduler.updateServers(Fleet.oneInEachDomain());
    scheduler.updateAggregateLoad(
        Fleet.oneInEachDomain().stream()
            .map(server -> new InFlightAt(InFlightAt.tag(server.id()), 8, 0))
            .toList(),
        0);
    FleetJob job = Fleet.job(1, 0, PromptShape.none());
    assertThat(scheduler.bindNow(job, Fleet.MILLI, 0)).isEmpty();
    assertThat(bindOne(scheduler, job, 0).job()).isEqualTo(job);
  }
}
