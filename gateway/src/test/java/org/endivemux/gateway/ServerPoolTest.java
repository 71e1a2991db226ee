package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.WarmUp;
import org.endivemux.routing.fleet.AttemptResult;
import org.endivemux.routing.fleet.Binding;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.OverloadProtection;
import org.endivemux.routing.fleet.PromptShape;
import org.endivemux.routing.fleet.ServerNotices;
import org.endivemux.routing.fleet.WarmUpLimit;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Checks that requests that were refused, cancelled or finished hold no slot. */
final class ServerPoolTest {
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final FailureDomain DOMAIN = new FailureDomain("a");
  private static final int SLOTS = 4;

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final ServerNotices notices = new ServerNotices(Duration.ofMinutes(1));
  private final ServerPool pool =
      new ServerPool(
          new FleetScheduler(DOMAIN, notices), notices, () -> time.now(TimeUnit.NANOSECONDS), time);

  private FleetJob job(int number) {
    return new FleetJob(
        new RequestId("r" + number),
        SERVICE,
        1,
        0,
        time.now(TimeUnit.NANOSECONDS) + Duration.ofMillis(800).toNanos(),
        PromptShape.none(),
        false,
        Set.of());
  }

  private void listOneServer() {
    pool.updateServers(List.of(server()), 0);
  }

  @Example
  void refusedBurstTakesNoSlotsFromLaterRequests() {
    IntStream.range(0, 20).forEach(i -> pool.acquire(job(i)).onErrorComplete().subscribe());
    time.advanceTimeBy(Duration.ofSeconds(1));
    listOneServer();
    assertThat(pool.loads()).extracting(ServiceLoad::requests).allMatch(count -> count == 0);
    assertThat(bound(job(100))).isPresent();
  }

  @Example
  void cancelledRequestsHoldNoSlots() {
    listOneServer();
    IntStream.range(0, 3 * SLOTS)
        .forEach(i -> pool.acquire(job(i)).flatMap(it -> Mono.never()).subscribe().dispose());
    assertThat(pool.loads()).extracting(ServiceLoad::requests).allMatch(count -> count == 0);
    assertThat(bound(job(100))).isPresent();
  }

  @Example
  void slotIsFreedWhenAnAttemptEnds() {
    listOneServer();
    IntStream.range(0, 5 * SLOTS)
        .forEach(
            i -> {
              Binding binding = bound(job(i)).orElseThrow();
              pool.release(binding.job().id(), AttemptResult.OK);
            });
    assertThat(pool.loads()).extracting(ServiceLoad::requests).allMatch(count -> count == 0);
  }

  private static GatewayServer server() {
    return new GatewayServer(
        new BackendServerId("s"), SERVICE, "10.0.0.1", DOMAIN, SLOTS, false, ServerKind.STEADY);
  }

  /** Guards against requests that wait in vain for servers which have asked for a long pause. */
  @Example
  void requestIsRefusedAtOnceWhenAllServersArePausedForLonger() {
    listOneServer();
    pool.feedback().pauses(server(), Duration.ofSeconds(3));
    AtomicReference<Throwable> error = new AtomicReference<>();
    pool.acquire(job(1)).subscribe(binding -> {}, error::set);
    assertThat(error.get()).isInstanceOf(GatewayRefusal.class);
    assertThat(((GatewayRefusal) error.get()).retryAfterMillis()).isBetween(3000L, 4000L);
    assertThat(pool.loads()).extracting(ServiceLoad::requests).allMatch(count -> count == 0);
  }

  /**
   * Guards against requests that stay waiting after a pause, and against all of them going at once.
   */
  @Example
  void waitingRequestsAreBoundInStepsAfterAPause() {
    listOneServer();
    pool.feedback().pauses(server(), Duration.ofMillis(200));
    AtomicInteger bound = new AtomicInteger();
    IntStream.range(0, SLOTS)
        .forEach(i -> pool.acquire(job(i)).subscribe(binding -> bound.incrementAndGet()));
    time.advanceTimeBy(Duration.ofMillis(199));
    assertThat(bound).hasValue(0);
    time.advanceTimeBy(Duration.ofMillis(2));
    assertThat(bound).hasValue(1);
    time.advanceTimeBy(Duration.ofMillis(500));
    assertThat(bound).hasValue(SLOTS);
  }

  /** Guards against requests that wait in vain when no server remains after an evacuation. */
  @Example
  void waitingRequestsAreRefusedAsNotRunWhenNoServerRemains() {
    listOneServer();
    IntStream.range(0, SLOTS).forEach(i -> assertThat(bound(job(i))).isPresent());
    AtomicReference<Throwable> error = new AtomicReference<>();
    pool.acquire(job(100)).subscribe(binding -> {}, error::set);
    assertThat(error.get()).isNull();
    pool.updateEvacuated(Set.of(DOMAIN));
    assertThat(((GatewayRefusal) error.get()).reason()).isEqualTo(Reason.NO_CAPACITY);
    assertThat(pool.loads()).extracting(ServiceLoad::requests).containsExactly(SLOTS);
    pool.release(new RequestId("r0"), AttemptResult.OK);
    pool.updateEvacuated(Set.of());
    time.advanceTimeBy(Duration.ofSeconds(2));
    assertThat(bound(job(101))).isPresent();
  }

  /** Guards against requests that wait for a cold server although its next one is due. */
  @Example
  void waitingRequestsAreBoundAtTheRateOfAColdServer() {
    List<EntryInfo> entries =
        List.of(new EntryInfo(new VmId("a:1"), new Incarnation("1"), DOMAIN, "a:2", "a:1", true));
    WarmUpLimit warmUp =
        new WarmUpLimit(new VmId("a:1"), () -> entries, new WarmUpLimit.Bounds(1.5, 5));
    ServerPool cold =
        new ServerPool(
            new FleetScheduler(DOMAIN, notices, warmUp, OverloadProtection.off()),
            notices,
            () -> time.now(TimeUnit.NANOSECONDS),
            time);
    ServiceSpec spec =
        new ServiceSpec(
            SERVICE, 8, Optional.empty(), Optional.empty(), Optional.of(new WarmUp(3000, 10)));
    cold.configure(
        new GatewayConfig(1, List.of(), List.of(spec), ClientLimits.defaults(), List.of()));
    cold.updateServers(List.of(server().coldUntil(5000)), 0);
    time.advanceTimeBy(Duration.ofSeconds(2));
    AtomicInteger bound = new AtomicInteger();
    IntStream.range(0, SLOTS)
        .forEach(i -> cold.acquire(job(i)).subscribe(binding -> bound.incrementAndGet()));
    assertThat(bound).hasValue(1);
    time.advanceTimeBy(Duration.ofMillis(700));
    assertThat(bound).hasValue(SLOTS);
    assertThat(cold.figures().coldCount()).isEqualTo(1);
  }

  private Optional<Binding> bound(FleetJob job) {
    return Optional.ofNullable(pool.acquire(job).toFuture().getNow(null));
  }
}
