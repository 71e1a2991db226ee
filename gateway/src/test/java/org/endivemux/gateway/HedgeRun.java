package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.voter.Clocks;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.routing.fleet.HedgePolicy;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.Disposable;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Runs a request through a relay that hedges, in virtual time. The first byte of the route usually
 * takes 100 ms, so a request is late after 150 ms. Confined to one test.
 */
final class HedgeRun {
  private static final ServiceName SERVICE = new ServiceName("service");

  final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final MetricRegistry metrics = new MetricRegistry();
  final ScriptedBackend backend = new ScriptedBackend();
  final ServerPool pool = Fixtures.pool(this::now, time);
  final StringBuilder received = new StringBuilder();
  final List<Throwable> errors = new ArrayList<>();
  private final GatewaySyncState syncState =
      new GatewaySyncState(Clocks.system(), 5000, List::of, List::of, List::of, CrashNews::none);
  double retrySlack = 50;
  int completions;

  private long now() {
    return time.now(TimeUnit.NANOSECONDS);
  }

  /** Sends a request of a route with a time limit of two seconds. */
  Disposable start(HostRoute route, int serverCount) {
    List<GatewayServer> servers =
        IntStream.rangeClosed(1, serverCount)
            .mapToObj(i -> Fixtures.server("s" + i, SERVICE))
            .toList();
    return relay(servers, route)
        .run(request(route), new byte[0])
        .subscribe(this::receive, errors::add, () -> completions++);
  }

  private void receive(ResponsePart part) {
    received.append(
        part instanceof ResponsePart.Head head
            ? head.status() + ":"
            : new String(((ResponsePart.Body) part).bytes(), StandardCharsets.UTF_8));
  }

  private AdmittedRequest request(HostRoute route) {
    return new AdmittedRequest(
        Fixtures.head("/p/x", Optional.empty(), PromptShape.none()),
        route,
        SERVICE,
        Optional.of(new OrganisationId("o")),
        1,
        false,
        now(),
        now() + 2_000_000_000L);
  }

  private Relay relay(List<GatewayServer> servers, HostRoute route) {
    GatewayConfig config =
        new GatewayConfig(
            1,
            List.of(route),
            List.of(new ServiceSpec(SERVICE, 8, Optional.empty(), Optional.empty())),
            ClientLimits.defaults(),
            List.of());
    pool.configure(config);
    pool.updateServers(servers, 0);
    return new Relay(
        pool,
        backend,
        syncState,
        Fixtures.noVersions(),
        new CrashWatch(backend, this::now, time),
        new GatewayCounters(metrics),
        () -> new RouteTable(config),
        () -> 1,
        new ServiceRetryAllowances(
            new ServiceRetryAllowances.Limits(0.2, 10, retrySlack), () -> 1, this::now),
        Optional.of(policy()),
        new PlannedStop(),
        new EventLoopStall(this::now, time),
        this::now,
        time);
  }

  private static HedgePolicy policy() {
    HedgePolicy policy = new HedgePolicy(0.5, 0.95);
    IntStream.range(0, 64)
        .forEach(
            i -> {
              policy.requested();
              policy.recordFirstByte("r", 100_000_000, false);
            });
    return policy;
  }

  void advance(long millis) {
    time.advanceTimeBy(Duration.ofMillis(millis));
  }

  long count(String outcome) {
    return metrics.counter("hedges." + outcome).getCount();
  }

  Reason refusal() {
    assertThat(errors).hasSize(1);
    return ((GatewayRefusal) errors.get(0)).reason();
  }
}
