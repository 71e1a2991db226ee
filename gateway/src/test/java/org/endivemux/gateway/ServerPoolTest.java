package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.routing.fleet.AttemptResult;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.FleetScheduler.Binding;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Checks that requests that were refused, cancelled or finished hold no slot. */
final class ServerPoolTest {
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final FailureDomain DOMAIN = new FailureDomain("a");
  private static final int SLOTS = 4;

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final ServerPool pool =
      new ServerPool(new FleetScheduler(DOMAIN), () -> time.now(TimeUnit.NANOSECONDS), time);

  private FleetJob job(int number) {
    return new FleetJob(
        new RequestId("r" + number),
        SERVICE,
        1,
        0,
        time.now(TimeUnit.NANOSECONDS) + Duration.ofMillis(500).toNanos(),
        PromptShape.none(),
        false,
        Set.of());
  }

  private void listOneServer() {
    pool.updateServers(
        List.of(
            new GatewayServer(
                new BackendServerId("s"),
                SERVICE,
                "10.0.0.1",
                DOMAIN,
                SLOTS,
                false,
                ServerKind.STEADY)));
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

  private Optional<Binding> bound(FleetJob job) {
    return Optional.ofNullable(pool.acquire(job).toFuture().getNow(null));
  }
}
