package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.SoftwareVersion;

/** Checks which servers get a job that only servers of one version may run. */
final class JobOfOneVersionTest {
  private static final FailureDomain DOMAIN = new FailureDomain("d");
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v2");
  private static final int SLOTS = 2;

  private final FleetScheduler scheduler =
      new FleetScheduler(DOMAIN, new ServerNotices(Duration.ofMinutes(1)));

  private int copies;

  private static GatewayServer server(String id, SoftwareVersion version) {
    return new GatewayServer(
            new BackendServerId(id), Fleet.LLM, id + ":1", DOMAIN, SLOTS, false, ServerKind.STEADY)
        .withVersion(Optional.of(version));
  }

  private static FleetJob job(String id, Optional<SoftwareVersion> version) {
    return job(id, version, Set.of());
  }

  private static FleetJob job(
      String id, Optional<SoftwareVersion> version, Set<BackendServerId> avoid) {
    return Fleet.jobOfVersion(id, version, avoid);
  }

  private boolean isOpen(GatewayServer server) {
    Binding binding = new Binding(job("j", Optional.empty()), server, Optional.empty(), 0);
    return scheduler.isOpen(binding, 0);
  }

  private List<String> bind() {
    return scheduler.bind(0).stream()
        .map(binding -> binding.job().id().value() + " at " + binding.server().id())
        .toList();
  }

  /** Guards against a continued stream that holds up all requests behind it. */
  @Example
  void jobThatWaitsForItsVersionDoesNotBlockOthers() {
    scheduler.updateServers(List.of(server("old", OLD), server("new", NEW)));
    IntStream.rangeClosed(1, SLOTS + 1)
        .forEach(i -> scheduler.offer(job("a" + i, Optional.of(OLD))));
    scheduler.offer(job("b", Optional.empty()));

    assertThat(bind()).containsExactly("a1 at old", "a2 at old", "b at new");
    assertThat(scheduler.removeWithoutVersion(0)).isEmpty();
  }

  /** Guards against a caller that waits for a version which no server has any more. */
  @Example
  void waitingJobEndsWhenTheLastServerOfItsVersionLeaves() {
    scheduler.updateServers(List.of(server("old", OLD), server("new", NEW)));
    IntStream.rangeClosed(1, SLOTS + 1)
        .forEach(i -> scheduler.offer(job("a" + i, Optional.of(OLD))));
    assertThat(bind()).hasSize(SLOTS);

    scheduler.updateServers(List.of(server("old", OLD).asLeaving(), server("new", NEW)));

    assertThat(scheduler.removeWithoutVersion(0))
        .extracting(FleetJob::id)
        .containsExactly(new RequestId("a" + (SLOTS + 1)));
    assertThat(bind()).isEmpty();
  }

  /** Guards against a request that was bound before its server left and is sent after that. */
  @Example
  void serverThatLeftAfterTheBindingIsNoLongerOpen() {
    scheduler.updateServers(List.of(server("s", OLD)));
    assertThat(isOpen(server("s", OLD))).isTrue();

    assertThat(isOpen(server("s", NEW))).isFalse();
    scheduler.updateServers(List.of(server("s", OLD).asLeaving()));
    assertThat(isOpen(server("s", OLD))).isFalse();
    scheduler.updateServers(List.of());
    assertThat(isOpen(server("s", OLD))).isFalse();
  }

  /** Guards against a job that waits although a server has room, since another one avoids it. */
  @Example
  void jobThatAvoidsServersSaysNothingAboutOthersOfItsVersion() {
    scheduler.updateServers(List.of(server("s", OLD)));
    FleetJob avoiding = job("a", Optional.of(OLD), Set.of(new BackendServerId("s")));
    FullVersions full = new FullVersions();
    full.add(avoiding);
    assertThat(full.covers(job("b", Optional.of(OLD)))).isFalse();
    full.add(job("b", Optional.of(OLD)));
    assertThat(full.covers(avoiding)).isTrue();
    assertThat(full.covers(job("c", Optional.of(NEW)))).isFalse();
    assertThat(full.covers(job("d", Optional.empty()))).isFalse();
  }

  /** Guards against a job of any version that waits, since one of a full version was larger. */
  @Example
  void jobOfOneVersionSaysNothingAboutTheCapacityForOthers() {
    JobsWithoutCapacity without = new JobsWithoutCapacity();
    without.add(job("a", Optional.of(OLD)));
    assertThat(without.covers(job("b", Optional.empty()))).isFalse();
  }

  /** Guards against a server that is told to copy what another version wrote. */
  @Example
  void sharedPartsAreNotCopiedFromAnotherVersion() {
    scheduler.updateServers(List.of(server("s1", OLD), server("s2", NEW)));
    assertThat(copySource(OLD)).isEmpty();
    scheduler.updateServers(List.of(server("s1", OLD), server("s2", OLD)));
    assertThat(copySource(OLD)).isPresent();
  }

  /** Returns where the shared parts of a job come from, which a server has run before. */
  private Optional<GatewayServer> copySource(SoftwareVersion version) {
    String id = "copied" + copies++;
    scheduler.offer(prompt(id + "first", Set.of(new BackendServerId("s1"))));
    assertThat(scheduler.bind(0)).hasSize(1);
    scheduler.ended(new RequestId(id + "first"), AttemptResult.OK, 0);
    scheduler.offer(prompt(id, Set.of(new BackendServerId("s2"))));
    List<Binding> bound = scheduler.bind(0);
    assertThat(bound.get(0).server().version()).hasValue(version);
    scheduler.ended(new RequestId(id), AttemptResult.FAILED, 0);
    return bound.get(0).copyFrom();
  }

  private static FleetJob prompt(String id, Set<BackendServerId> avoid) {
    FleetJob job = Fleet.job(1, 0, Fleet.prompt("session"));
    return new FleetJob(
        new RequestId(id), Fleet.LLM, 1, 0, Long.MAX_VALUE, job.prompt(), false, avoid);
  }
}
