package org.endivemux.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.ClassName;
import org.endivemux.model.Declaration;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.Declaration.Organisation;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.model.DeclarationIndex;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.routing.Observation.Result;

/** Tests the decisions of the scheduler for short and for random histories. */
final class SchedulerTest {
  private static final long MILLI = 1_000_000L;

  private final Scheduler scheduler = new Scheduler(domain(1), SelectionPolicies.leastCost());
  private long now;
  private int jobs;

  @Example
  void bindsOnlyWhileCapacityIsFree() {
    configure(server(1, ServerKind.STEADY, 2, "till", "assistant"));
    IntStream.range(0, 5).forEach(i -> offer("chat", "a"));
    assertThat(scheduler.assign(now)).hasSize(1);
    assertThat(scheduler.waiting()).isEqualTo(4);
  }

  @Example
  void protectedClassHasReservedCapacityAndGoesFirst() {
    configure(server(1, ServerKind.STEADY, 10, "till", "assistant"));
    IntStream.range(0, 50).forEach(i -> offer("chat", "a"));
    assertThat(scheduler.assign(now)).hasSize(8);
    offer("sale", "b");
    assertThat(scheduler.assign(now))
        .extracting(assignment -> assignment.job().requestClass().value())
        .containsExactly("sale");
  }

  @Example
  void organisationsAreServedByShareAndAFlooderHarmsOnlyItself() {
    configure(server(1, ServerKind.STEADY, 1, "assistant"));
    IntStream.range(0, 100).forEach(i -> offer("chat", "flooder"));
    IntStream.range(0, 5).forEach(i -> offer("chat", "small"));
    Map<String, Integer> served = new HashMap<>();
    IntStream.range(0, 12).forEach(i -> serveOne(served));
    assertThat(served.get("small")).isEqualTo(5);
  }

  private void serveOne(Map<String, Integer> served) {
    now += 10 * MILLI;
    scheduler
        .assign(now)
        .forEach(
            assignment -> {
              served.merge(assignment.job().organisation().value(), 1, Integer::sum);
              scheduler.finished(assignment.job().id(), ok(5), now);
            });
  }

  @Example
  void lowestClassGetsItsFloorShareUnderAFloodOfHigherOnes() {
    configure(server(1, ServerKind.STEADY, 1, "assistant"));
    IntStream.range(0, 900).forEach(i -> offer("chat", "a"));
    offer("summary", "b");
    Set<String> classes = new HashSet<>();
    IntStream.range(0, 60)
        .forEach(
            i -> {
              now += MILLI;
              scheduler
                  .assign(now)
                  .forEach(
                      assignment -> {
                        classes.add(assignment.job().requestClass().value());
                        scheduler.finished(assignment.job().id(), ok(1), now);
                      });
            });
    assertThat(classes).contains("summary");
  }

  @Example
  void waitLongerThanTheMaximumIsRefusedAsNotRun() {
    configure(server(1, ServerKind.STEADY, 1, "assistant"));
    offer("chat", "a");
    offer("chat", "a");
    scheduler.assign(now);
    now += 11_000 * MILLI;
    List<Refusal> refusals = scheduler.expire(now);
    assertThat(refusals).extracting(Refusal::reason).containsExactly(Reason.TOO_LATE);
    assertThat(scheduler.waiting()).isZero();
  }

  @Example
  void nonRepeatableCallStaysOffSpotServers() {
    configure(server(1, ServerKind.CHEAP, 10, "till"), server(2, ServerKind.STEADY, 10, "till"));
    offer("sale", "a");
    assertThat(scheduler.assign(now))
        .extracting(assignment -> assignment.server().id().value())
        .containsExactly("s2");
  }

  @Example
  void failedBackendServerIsInBackoffThenProbedByOneRequest() {
    configure(server(1, ServerKind.STEADY, 10, "assistant"));
    offer("chat", "a");
    Assignment first = scheduler.assign(now).get(0);
    scheduler.finished(first.job().id(), failed(), now);
    IntStream.range(0, 3).forEach(i -> offer("chat", "a"));
    assertThat(scheduler.assign(now)).isEmpty();
    now += 1000 * MILLI;
    assertThat(scheduler.assign(now)).hasSize(1);
  }

  @Example
  void stragglerGetsLessThanItsPeers() {
    configure(
        server(1, ServerKind.STEADY, 10, "assistant"),
        server(2, ServerKind.STEADY, 10, "assistant"));
    Map<String, Integer> chosen = new HashMap<>();
    IntStream.range(0, 200)
        .forEach(
            i -> {
              now += 100 * MILLI;
              offer("chat", "a");
              Assignment assignment = scheduler.assign(now).get(0);
              String id = assignment.server().id().value();
              chosen.merge(id, 1, Integer::sum);
              long slow = id.equals("s1") ? 10 : 1;
              scheduler.finished(
                  assignment.job().id(),
                  new Observation(Result.OK, 20 * slow * MILLI, 200 * slow * MILLI, 20),
                  now);
            });
    assertThat(chosen.getOrDefault("s1", 0)).isLessThan(chosen.get("s2") / 5);
  }

  @Example
  void peersRequestsTakeCapacityUntilTheyExpire() {
    configure(server(1, ServerKind.STEADY, 4, "assistant"));
    scheduler.peerDigest(
        "vm2", List.of(new InFlightAt(InFlightAt.tag(new BackendServerId("s1")), 4, 0)), now);
    offer("chat", "a");
    assertThat(scheduler.assign(now)).isEmpty();
    now += 2000 * MILLI;
    assertThat(scheduler.assign(now)).hasSize(1);
  }

  @Example
  void leavingBackendServerGetsNothingNew() {
    configure(server(1, ServerKind.STEADY, 4, "assistant"));
    scheduler.configure(
        new DeclarationIndex(declaration(server(1, ServerKind.STEADY, 4, "assistant"))),
        id -> true);
    assertThat(offer("chat", "a")).isEqualTo(Reason.NO_CAPACITY);
  }

  @Property(tries = 100, seed = "42")
  void capacityIsNeverExceededNorLostUnderRandomHistories(@ForAll long seed) {
    Random random = new Random(seed);
    Scheduler fresh = new Scheduler(domain(1), SelectionPolicies.leastCost());
    fresh.configure(
        new DeclarationIndex(
            declaration(
                server(1, ServerKind.STEADY, 3, "till", "assistant"),
                server(2, ServerKind.CHEAP, 2, "assistant"))),
        id -> false);
    Map<RequestId, Assignment> running = new HashMap<>();
    for (int step = 0; step < 400; step++) {
      now += random.nextInt(50) * MILLI;
      if (random.nextBoolean()) {
        fresh.offer(job(random.nextInt(4) == 0 ? "sale" : "chat", "o" + random.nextInt(3)), now);
      } else if (!running.isEmpty()) {
        RequestId id = running.keySet().iterator().next();
        running.remove(id);
        fresh.finished(id, random.nextInt(5) == 0 ? failed() : ok(random.nextInt(900)), now);
      }
      fresh.assign(now).forEach(assignment -> running.put(assignment.job().id(), assignment));
      fresh.expire(now);
      assertThat(runningAt(running, "s1")).isLessThanOrEqualTo(3);
      assertThat(runningAt(running, "s2")).isLessThanOrEqualTo(2);
      assertThat(fresh.inFlight()).isEqualTo(running.size());
    }
    running.keySet().forEach(id -> fresh.finished(id, ok(1), now));
    assertThat(fresh.digest()).isEmpty();
  }

  private static long runningAt(Map<RequestId, Assignment> running, String server) {
    return running.values().stream()
        .filter(assignment -> assignment.server().id().value().equals(server))
        .count();
  }

  private void configure(BackendServer... servers) {
    scheduler.configure(new DeclarationIndex(declaration(servers)), id -> false);
  }

  private static Declaration declaration(BackendServer... servers) {
    return new Declaration(
        List.of(new Organisation(new OrganisationId("a"), 1, List.of())),
        List.of(
            new RequestClass(new ClassName("sale"), 0, true, 300, 10_000, 0),
            new RequestClass(new ClassName("chat"), 1, false, 840, 10_000, 0.1),
            new RequestClass(new ClassName("summary"), 3, false, 60_000, 600_000, 0.05)),
        List.of(
            new Route(Route.Type.MODEL, "assistant", new ClassName("chat"), true),
            new Route(Route.Type.SERVICE, "till", new ClassName("sale"), false)),
        List.of(servers),
        0);
  }

  private static BackendServer server(int number, ServerKind kind, int capacity, String... serves) {
    return new BackendServer(
        new BackendServerId("s" + number),
        "127.0.0.1:9000",
        domain(number),
        kind,
        List.of(serves),
        capacity,
        1,
        true);
  }

  private static FailureDomain domain(int number) {
    return new FailureDomain("d" + number);
  }

  private Reason offer(String requestClass, String organisation) {
    return scheduler.offer(job(requestClass, organisation), now).map(Refusal::reason).orElse(null);
  }

  private Job job(String requestClass, String organisation) {
    boolean sale = requestClass.equals("sale");
    return new Job(
        new RequestId("r" + jobs++),
        new OrganisationId(organisation),
        new ClassName(requestClass),
        sale ? "till" : "assistant",
        !sale,
        now,
        10,
        0);
  }

  private static Observation ok(int millis) {
    return new Observation(Result.OK, millis * MILLI, millis * MILLI, 1);
  }

  private static Observation failed() {
    return new Observation(Result.FAILED, MILLI, MILLI, 0);
  }
}
