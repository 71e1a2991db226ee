package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.control.client.GatewaySyncState;
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
import org.endivemux.routing.fleet.PromptPart;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Checks which requests are retried or refused and which responses are passed on. */
final class RelayTest {
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final Duration START_SLACK = Duration.ofSeconds(5);

  /** Gives scripted responses in turn and records the calls. */
  private static final class ScriptedBackend implements BackendPort {
    private final Deque<Function<Call, Flux<Response>>> responses = new ArrayDeque<>();
    private final List<Call> calls = new ArrayList<>();
    private final AtomicInteger checks = new AtomicInteger();

    ScriptedBackend then(Function<Call, Flux<Response>> response) {
      responses.add(response);
      return this;
    }

    @Override
    public <T> Flux<T> send(Call call, Function<Response, Flux<T>> reader) {
      calls.add(call);
      return responses.removeFirst().apply(call).concatMap(reader);
    }

    @Override
    public Mono<Boolean> isGone(GatewayServer server) {
      checks.incrementAndGet();
      return Mono.just(false);
    }
  }

  private static Function<BackendPort.Call, Flux<BackendPort.Response>> responds(
      int status, boolean notRun, String... chunks) {
    return call -> {
      call.sendMarker().markSent();
      return Flux.just(response(status, notRun, bytes(chunks)));
    };
  }

  private static Function<BackendPort.Call, Flux<BackendPort.Response>> breaksAfter(
      String... chunks) {
    return call -> {
      call.sendMarker().markSent();
      return Flux.just(
          response(200, false, bytes(chunks).concatWith(Flux.error(new IllegalStateException()))));
    };
  }

  private static Flux<BackendPort.Response> unreachable(BackendPort.Call call) {
    return Flux.error(new IllegalStateException(call.server() + " refused"));
  }

  private static Flux<BackendPort.Response> connectionReset(BackendPort.Call call) {
    call.sendMarker().markSent();
    return Flux.error(new IllegalStateException("reset"));
  }

  private static BackendPort.Response response(int status, boolean notRun, Flux<byte[]> body) {
    return new BackendPort.Response(
        status, new DefaultHttpHeaders(), notRun, false, false, Duration.ZERO, body);
  }

  private static Flux<byte[]> bytes(String... chunks) {
    return Flux.fromArray(chunks).map(chunk -> chunk.getBytes(StandardCharsets.UTF_8));
  }

  private static HostRoute route(RequestKind kind, int maxServers, boolean resumable) {
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

  private static GatewayServer server(int number) {
    return Fixtures.server("s" + number, SERVICE);
  }

  private static Flux<ResponsePart> run(ScriptedBackend backend, HostRoute route) {
    return run(backend, route, LIMIT);
  }

  private static Flux<ResponsePart> run(ScriptedBackend backend, HostRoute route, Duration limit) {
    return run(backend, route, limit, 50);
  }

  private static Flux<ResponsePart> run(
      ScriptedBackend backend, HostRoute route, Duration limit, double retrySlack) {
    return run(backend, admitted(route, limit, PromptShape.none()), retrySlack);
  }

  private static Flux<ResponsePart> run(
      ScriptedBackend backend, AdmittedRequest request, double retrySlack) {
    return run(backend, request, retrySlack, new PlannedStop());
  }

  private static Flux<ResponsePart> run(
      ScriptedBackend backend, AdmittedRequest request, double retrySlack, PlannedStop stop) {
    GatewayConfig config =
        new GatewayConfig(
            1,
            List.of(request.route()),
            List.of(new ServiceSpec(SERVICE, 8, Optional.empty(), Optional.empty())),
            ClientLimits.defaults(),
            List.of());
    ServerPool pool = Fixtures.pool(System::nanoTime);
    pool.configure(config);
    pool.updateServers(List.of(server(1), server(2), server(3)));
    Relay relay =
        new Relay(
            pool,
            backend,
            new GatewaySyncState(
                Clocks.system(), 5000, List::of, List::of, List::of, CrashNews::none),
            new CrashWatch(backend, System::nanoTime, Schedulers.parallel()),
            new GatewayCounters(new MetricRegistry()),
            () -> new RouteTable(config),
            () -> 1,
            new ServiceRetryAllowances(
                new ServiceRetryAllowances.Limits(0.2, 10, retrySlack), () -> 1, System::nanoTime),
            stop,
            System::nanoTime,
            Schedulers.parallel());
    return relay.run(request, new byte[0]);
  }

  /** Returns a request that no server is too late for, however long the test takes to start. */
  private static AdmittedRequest admitted(HostRoute route, Duration limit, PromptShape prompt) {
    return admitted(route, limit, prompt, START_SLACK);
  }

  private static AdmittedRequest admitted(
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

  private static String text(Flux<ResponsePart> parts) {
    return parts
        .map(
            part ->
                part instanceof ResponsePart.Head head
                    ? head.status() + ":"
                    : new String(((ResponsePart.Body) part).bytes(), StandardCharsets.UTF_8))
        .reduce("", String::concat)
        .block(LIMIT);
  }

  private static Reason refusal(Flux<ResponsePart> parts) {
    return parts
        .then()
        .<Reason>map(nothing -> Reason.INTERNAL)
        .onErrorResume(GatewayRefusal.class, error -> Mono.just(error.reason()))
        .block(LIMIT);
  }

  @Example
  void completeResponseIsPassedOn() {
    ScriptedBackend backend = new ScriptedBackend().then(responds(200, false, "ab", "c"));
    assertThat(text(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false))))
        .isEqualTo("200:abc");
  }

  @Example
  void nonIdempotentRequestWithLostResponseIsNeitherRetriedNorReportedAsNotRun() {
    ScriptedBackend backend =
        new ScriptedBackend().then(RelayTest::connectionReset).then(responds(200, false, "twice"));
    assertThat(refusal(run(backend, route(RequestKind.NON_IDEMPOTENT, 3, false))))
        .isEqualTo(Reason.BACKEND_FAILED);
    assertThat(backend.calls).hasSize(1);
  }

  @Example
  void nonIdempotentRequestThatDidNotRunIsSentElsewhere() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(RelayTest::unreachable)
            .then(responds(503, true, "full"))
            .then(responds(200, false, "ok"));
    assertThat(text(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false)))).isEqualTo("200:ok");
    assertThat(backend.calls).extracting(BackendPort.Call::server).doesNotHaveDuplicates();
  }

  @Example
  void nonIdempotentRequestThatNoServerAcceptsIsRefusedAsNotRun() {
    ScriptedBackend backend = new ScriptedBackend();
    IntStream.range(0, 4).forEach(i -> backend.then(responds(503, true, "full")));
    assertThat(refusal(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false))))
        .isIn(Reason.NOT_TAKEN, Reason.TOO_LATE);
  }

  @Example
  void nonIdempotentRequestWhoseConnectionNeverOpensIsRefusedAsNotRun() {
    ScriptedBackend backend = new ScriptedBackend().then(call -> Flux.never());
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    assertThat(refusal(run(backend, route, Duration.ofMillis(300)))).isEqualTo(Reason.NOT_TAKEN);
  }

  @Example
  void nonIdempotentRequestThatTimesOutMayHaveRun() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(
                call -> {
                  call.sendMarker().markSent();
                  return Flux.never();
                });
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    assertThat(refusal(run(backend, route, Duration.ofMillis(300))))
        .isEqualTo(Reason.BACKEND_TIMEOUT);
  }

  @Example
  void attemptIsCancelledAtTheEndOfTheRequestsTime() {
    AtomicBoolean isCancelled = new AtomicBoolean();
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(
                call -> Flux.<BackendPort.Response>never().doOnCancel(() -> isCancelled.set(true)));
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    refusal(run(backend, route, Duration.ofMillis(300)));
    assertThat(isCancelled).isTrue();
  }

  private static ScriptedBackend respondsAfterMillis(long millis) {
    return new ScriptedBackend()
        .then(
            call -> {
              call.sendMarker().markSent();
              return Mono.delay(Duration.ofMillis(millis))
                  .flatMapMany(tick -> responds(200, false, "late").apply(call));
            });
  }

  @Example
  void silentAttemptGoesOnWhenNoRepeatIsLeft() {
    HostRoute route = route(RequestKind.IDEMPOTENT, 2, false);
    assertThat(text(run(respondsAfterMillis(2500), route, LIMIT, 0))).isEqualTo("200:late");
  }

  @Example
  void attemptIsNotSilentWhileItsServerHasTokensToPrefill() {
    HostRoute route = route(RequestKind.IDEMPOTENT, 2, false);
    PromptShape longPrompt = new PromptShape("m", 250_000, 10, List.of());
    AdmittedRequest request = admitted(route, LIMIT, longPrompt);
    assertThat(text(run(respondsAfterMillis(2500), request, 50))).isEqualTo("200:late");
  }

  @Example
  void requestWithoutAFreeServerIsRefusedAsTooLate() {
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    ScriptedBackend backend = new ScriptedBackend();
    IntStream.range(0, 3).forEach(i -> backend.then(responds(503, true, "full")));
    AdmittedRequest request = admitted(route, LIMIT, PromptShape.none(), Duration.ZERO);
    assertThat(refusal(run(backend, request, 50))).isEqualTo(Reason.TOO_LATE);
  }

  @Example
  void errorResponseOfTheLastServerIsPassedOnUnchanged() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(responds(500, false, "first"))
            .then(responds(500, false, "second"));
    assertThat(text(run(backend, route(RequestKind.IDEMPOTENT, 2, false)))).isEqualTo("500:second");
  }

  @Example
  void idempotentRequestIsSentToNoMoreServersThanTheRouteAllows() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(RelayTest::connectionReset)
            .then(RelayTest::connectionReset)
            .then(responds(200, false, "third"));
    assertThat(refusal(run(backend, route(RequestKind.IDEMPOTENT, 2, false))))
        .isEqualTo(Reason.BACKEND_FAILED);
    assertThat(backend.calls).hasSize(2);
  }

  @Example
  void brokenStreamResumesElsewhereAfterTheLastCompleteEvent() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(breaksAfter("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
            .then(responds(200, false, "id: 3\ndata: c\n\n"));
    assertThat(text(run(backend, route(RequestKind.STREAM, 2, true))))
        .isEqualTo("200:id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assertThat(backend.calls.get(1).resumeAfter()).hasValue(2);
  }

  @Example
  void eventsThatTheCallerHasReceivedAreNotRepeated() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(breaksAfter("id: 1\ndata: a\n\n"))
            .then(responds(200, false, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    assertThat(text(run(backend, route(RequestKind.STREAM, 2, true))))
        .isEqualTo("200:id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  /** Guards against prompts being blamed for servers that were down before they were sent. */
  @Example
  void serverIsCheckedForACrashOnlyAfterAnAttemptThatWasSent() {
    PromptShape prompt =
        new PromptShape(
            "m", 30, 10, List.of(new PromptPart("shared", 20), new PromptPart("own", 10)));
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    ScriptedBackend down = new ScriptedBackend();
    IntStream.range(0, 4).forEach(i -> down.then(RelayTest::unreachable));
    refusal(run(down, admitted(route, LIMIT, prompt), 50));
    ScriptedBackend crashing = new ScriptedBackend().then(RelayTest::connectionReset);
    refusal(run(crashing, admitted(route, LIMIT, prompt), 50));
    Mono.delay(Duration.ofMillis(20)).repeat(() -> crashing.checks.get() == 0).blockLast(LIMIT);
    assertThat(down.checks).hasValue(0);
    assertThat(crashing.checks).hasValue(1);
  }

  @Example
  void brokenStreamThatMayNotBeResumedIsReportedAsBroken() {
    ScriptedBackend backend = new ScriptedBackend().then(breaksAfter("id: 1\ndata: a\n\n"));
    assertThat(refusal(run(backend, route(RequestKind.STREAM, 2, false))))
        .isEqualTo(Reason.ANSWER_BROKEN);
  }

  @Example
  void streamThatEndsWithinAnEventIsReportedAsBroken() {
    ScriptedBackend backend =
        new ScriptedBackend().then(responds(200, false, "id: 1\ndata: a\n\nid: 2\nda"));
    assertThat(refusal(run(backend, route(RequestKind.STREAM, 1, false))))
        .isEqualTo(Reason.ANSWER_BROKEN);
  }

  /** Guards against a response that is kept although it takes much of the shared memory. */
  @Example
  void errorResponseThatIsTooLongToKeepIsNotPassedOn() {
    String tooLong = "x".repeat(ResponseReader.MAX_RETAINED_BYTES + 1);
    ScriptedBackend backend = new ScriptedBackend().then(responds(500, false, tooLong));
    assertThat(refusal(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false))))
        .isEqualTo(Reason.BACKEND_FAILED);
  }

  private static Flux<ResponsePart> runWith(PlannedStop stop, ScriptedBackend backend) {
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    return run(backend, admitted(route, LIMIT, PromptShape.none()), 50, stop);
  }

  /** Guards against a request that waited for a server and is sent while the process ends. */
  @Example
  void requestThatWasNotSentBeforeTheCloseIsRefused() {
    PlannedStop stop = new PlannedStop();
    stop.close();
    ScriptedBackend backend = new ScriptedBackend();
    assertThat(refusal(runWith(stop, backend))).isEqualTo(Reason.DRAINING);
    assertThat(backend.calls).isEmpty();
  }

  /** Guards against giving up a request that a server turned down after the close. */
  @Example
  void requestThatWasSentBeforeTheCloseIsSentElsewhere() {
    PlannedStop stop = new PlannedStop();
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(
                call -> {
                  stop.close();
                  return responds(503, true, "full").apply(call);
                })
            .then(responds(200, false, "ok"));
    assertThat(text(runWith(stop, backend))).isEqualTo("200:ok");
  }

  /** Guards against an error response, or its head, in the middle of a resumed stream. */
  @Property(tries = 7)
  void errorResponseToAResumedStreamIsNotPassedOn(@ForAll ErrorStatus status) {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(breaksAfter("id: 1\ndata: a\n\n"))
            .then(responds(status.code, false, "error text"))
            .then(responds(status.code, false, "error text"));
    List<ResponsePart> delivered = new ArrayList<>();
    Flux<ResponsePart> parts =
        run(backend, route(RequestKind.STREAM, 3, true)).doOnNext(delivered::add);
    assertThat(refusal(parts)).isEqualTo(Reason.ANSWER_BROKEN);
    assertThat(text(Flux.fromIterable(delivered))).isEqualTo("200:id: 1\ndata: a\n\n");
  }

  /** Guards against giving up a stream after an error that another server does not have. */
  @Property(tries = 7)
  void streamIsResumedAtAThirdServerWhenTheSecondRespondsWithAnError(@ForAll ErrorStatus status) {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(breaksAfter("id: 1\ndata: a\n\n"))
            .then(responds(status.code, false, "error text"))
            .then(responds(200, false, "id: 2\ndata: b\n\n"));
    assertThat(text(run(backend, route(RequestKind.STREAM, 3, true))))
        .isEqualTo("200:id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  /** Lists statuses with which a server may respond to a stream that it should resume. */
  enum ErrorStatus {
    NO_CONTENT(204),
    FOUND(302),
    BAD_REQUEST(400),
    NOT_FOUND(404),
    CONFLICT(409),
    SERVER_ERROR(500),
    UNAVAILABLE(503);

    private final int code;

    ErrorStatus(int code) {
      this.code = code;
    }
  }
}
