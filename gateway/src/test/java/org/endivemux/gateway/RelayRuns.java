package org.endivemux.gateway;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.StreamVersionLookup;
import org.endivemux.control.voter.Clocks;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.Share;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Runs requests through a relay to scripted backend servers. Stateless. */
final class RelayRuns {
  static final Duration LIMIT = Duration.ofSeconds(20);

  static final ServiceName SERVICE = new ServiceName("service");
  private static final Duration START_SLACK = Duration.ofSeconds(5);

  private RelayRuns() {}

  static HostRoute route(RequestKind kind, int maxServers, boolean resumable) {
    return new HostRoute(
        "r",
        "h",
        "/p/",
        kind,
        5000,
        500,
        1,
        List.of(new Share(SERVICE, 1)),
        maxServers,
        true,
        false,
        resumable,
        0);
  }

  static GatewayServer server(int number) {
    return Fixtures.server("s" + number, SERVICE);
  }

  static Flux<ResponsePart> run(ScriptedBackend backend, HostRoute route) {
    return run(backend, route, LIMIT);
  }

  static Flux<ResponsePart> run(ScriptedBackend backend, HostRoute route, Duration limit) {
    return run(backend, route, limit, 50);
  }

  static Flux<ResponsePart> run(
      ScriptedBackend backend, HostRoute route, Duration limit, double retrySlack) {
    return run(backend, admitted(route, limit, PromptShape.none()), retrySlack);
  }

  static Flux<ResponsePart> run(
      ScriptedBackend backend, AdmittedRequest request, double retrySlack) {
    return run(backend, request, retrySlack, new PlannedStop());
  }

  static Flux<ResponsePart> run(
      ScriptedBackend backend, AdmittedRequest request, double retrySlack, PlannedStop stop) {
    return run(backend, request, retrySlack, stop, List.of(server(1), server(2), server(3)));
  }

  static Flux<ResponsePart> run(
      ScriptedBackend backend,
      AdmittedRequest request,
      double retrySlack,
      PlannedStop stop,
      List<GatewayServer> servers) {
    ServerPool pool = Fixtures.pool(System::nanoTime);
    pool.configure(config(request));
    pool.updateServers(servers, 0);
    return run(
        backend,
        request,
        retrySlack,
        stop,
        pool,
        new EventLoopStall(System::nanoTime, Schedulers.parallel()));
  }

  private static GatewayConfig config(AdmittedRequest request) {
    return new GatewayConfig(
        1,
        List.of(request.route()),
        List.of(new ServiceSpec(SERVICE, 8, Optional.empty(), Optional.empty())),
        ClientLimits.defaults(),
        List.of());
  }

  static Flux<ResponsePart> run(
      ScriptedBackend backend,
      AdmittedRequest request,
      double retrySlack,
      PlannedStop stop,
      ServerPool pool,
      EventLoopStall stall) {
    return run(backend, request, retrySlack, stop, pool, stall, Fixtures.noVersions());
  }

  static Flux<ResponsePart> run(
      ScriptedBackend backend,
      AdmittedRequest request,
      double retrySlack,
      PlannedStop stop,
      ServerPool pool,
      EventLoopStall stall,
      StreamVersionLookup versions) {
    RouteTable table = new RouteTable(config(request));
    Relay relay =
        new Relay(
            pool,
            backend,
            new GatewaySyncState(
                Clocks.system(), 5000, List::of, List::of, List::of, CrashNews::none),
            versions,
            new CrashWatch(backend, System::nanoTime, Schedulers.parallel()),
            new GatewayCounters(new MetricRegistry()),
            () -> table,
            () -> 1,
            new ServiceRetryAllowances(
                new ServiceRetryAllowances.Limits(0.2, 10, retrySlack), () -> 1, System::nanoTime),
            Optional.empty(),
            stop,
            stall,
            System::nanoTime,
            Schedulers.parallel());
    return relay.run(request, new byte[0]);
  }

  /** Returns a request that no server is too late for, however long the test takes to start. */
  static AdmittedRequest admitted(HostRoute route, Duration limit, PromptShape prompt) {
    return admitted(route, limit, prompt, START_SLACK);
  }

  static AdmittedRequest admitted(
      HostRoute route, Duration limit, PromptShape prompt, Duration arrivesIn) {
    RequestHead head = Fixtures.head("/p/x", Optional.empty(), prompt);
    long now = System.nanoTime();
    return new AdmittedRequest(
        head,
        route,
        SERVICE,
        Optional.of(new OrganisationId("o")),
        1,
        false,
        now + arrivesIn.toNanos(),
        now + limit.toNanos());
  }

  /** Returns the head of a request that names another attempt or resumes its stream, if any. */
  static RequestHead head(String id, Optional<String> resumes, OptionalLong resumeAfter) {
    RequestHead plain = Fixtures.head("/p/x", Optional.empty(), PromptShape.none());
    return new RequestHead(
        id,
        plain.host(),
        plain.method(),
        plain.uri(),
        plain.key(),
        plain.maxWaitMillis(),
        resumeAfter,
        resumes,
        plain.prompt(),
        plain.forwardedHeaders());
  }

  /** Returns a request with a head of its own. */
  static AdmittedRequest admitted(HostRoute route, RequestHead head) {
    AdmittedRequest plain = admitted(route, LIMIT, PromptShape.none());
    return new AdmittedRequest(
        head,
        route,
        plain.service(),
        plain.organisation(),
        plain.urgency(),
        plain.longPrompts(),
        plain.arrivedAt(),
        plain.deadline());
  }

  static String text(Flux<ResponsePart> parts) {
    return parts
        .map(
            part ->
                part instanceof ResponsePart.Head head
                    ? head.status() + ":"
                    : new String(((ResponsePart.Body) part).bytes(), StandardCharsets.UTF_8))
        .reduce("", String::concat)
        .block(LIMIT);
  }

  static Reason refusal(Flux<ResponsePart> parts) {
    return parts
        .then()
        .<Reason>map(nothing -> Reason.INTERNAL)
        .onErrorResume(GatewayRefusal.class, error -> Mono.just(error.reason()))
        .block(LIMIT);
  }
}
