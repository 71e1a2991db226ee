package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.voter.Clocks;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Kind;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.Share;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Shows what is sent again, what is refused and what is passed on. */
final class RelayTest {
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final Duration LIMIT = Duration.ofSeconds(20);

  /** Plays the scripted answers in turn and notes the calls. */
  private static final class Script implements BackendPort {
    private final Deque<Function<Call, Flux<Answer>>> turns = new ArrayDeque<>();
    private final List<Call> calls = new ArrayList<>();

    Script then(Function<Call, Flux<Answer>> turn) {
      turns.add(turn);
      return this;
    }

    @Override
    public <T> Flux<T> send(Call call, Function<Answer, Flux<T>> reader) {
      calls.add(call);
      return turns.removeFirst().apply(call).concatMap(reader);
    }
  }

  private static Function<BackendPort.Call, Flux<BackendPort.Answer>> answers(
      int status, boolean notRun, String... chunks) {
    return call -> {
      call.left().mark();
      return Flux.just(answer(status, notRun, bytes(chunks)));
    };
  }

  private static Function<BackendPort.Call, Flux<BackendPort.Answer>> breaksAfter(
      String... chunks) {
    return call -> {
      call.left().mark();
      return Flux.just(
          answer(200, false, bytes(chunks).concatWith(Flux.error(new IllegalStateException()))));
    };
  }

  private static Flux<BackendPort.Answer> unreachable(BackendPort.Call call) {
    return Flux.error(new IllegalStateException(call.server() + " refused"));
  }

  private static Flux<BackendPort.Answer> lost(BackendPort.Call call) {
    call.left().mark();
    return Flux.error(new IllegalStateException("reset"));
  }

  private static BackendPort.Answer answer(int status, boolean notRun, Flux<byte[]> body) {
    return new BackendPort.Answer(status, new DefaultHttpHeaders(), notRun, false, body);
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
    return new GatewayServer(
        new BackendServerId("s" + number),
        SERVICE,
        "10.0.0." + number,
        new FailureDomain("a"),
        4,
        false,
        Kind.STEADY);
  }

  private static Flux<AnswerPart> run(Script script, HostRoute route) {
    return run(script, route, LIMIT);
  }

  private static Flux<AnswerPart> run(Script script, HostRoute route, Duration limit) {
    GatewayConfig config =
        new GatewayConfig(
            1,
            List.of(route),
            List.of(new ServiceSpec(SERVICE, 8, Optional.empty(), Optional.empty())),
            ClientLimits.defaults(),
            List.of());
    ServerPool pool =
        new ServerPool(
            new FleetScheduler(new FailureDomain("a")), System::nanoTime, Schedulers.parallel());
    pool.configure(config);
    pool.list(List.of(server(1), server(2), server(3)));
    Relay relay =
        new Relay(
            pool,
            script,
            new GatewaySyncState(Clocks.system(), 5000, List::of, List::of),
            new GatewayCounters(new MetricRegistry()),
            () -> new RouteTable(config),
            () -> 1,
            new SharedRetries(new SharedRetries.Limits(0.2, 10, 50), () -> 1, System::nanoTime),
            System::nanoTime,
            Schedulers.parallel());
    return relay.run(admitted(route, limit), new byte[0]);
  }

  private static Admitted admitted(HostRoute route, Duration limit) {
    RequestHead head =
        new RequestHead(
            "id",
            "h",
            HttpMethod.POST,
            "/p/x",
            Optional.empty(),
            OptionalLong.empty(),
            OptionalLong.empty(),
            PromptShape.none(),
            new DefaultHttpHeaders());
    long now = System.nanoTime();
    return new Admitted(
        head,
        route,
        SERVICE,
        Optional.of(new OrganisationId("o")),
        1,
        false,
        now,
        now + limit.toNanos());
  }

  private static String text(Flux<AnswerPart> parts) {
    return parts
        .map(
            part ->
                part instanceof AnswerPart.Head head
                    ? head.status() + ":"
                    : new String(((AnswerPart.Body) part).bytes(), StandardCharsets.UTF_8))
        .reduce("", String::concat)
        .block(LIMIT);
  }

  private static Reason refusal(Flux<AnswerPart> parts) {
    return parts
        .then()
        .<Reason>map(nothing -> Reason.INTERNAL)
        .onErrorResume(GatewayRefusal.class, error -> Mono.just(error.reason()))
        .block(LIMIT);
  }

  @Example
  void wholeAnswerIsPassedOn() {
    Script script = new Script().then(answers(200, false, "ab", "c"));
    assertThat(text(run(script, route(RequestKind.NON_IDEMPOTENT, 1, false)))).isEqualTo("200:abc");
  }

  @Example
  void saleWhoseAnswerIsLostIsNotSentAgainNorCalledNotRun() {
    Script script = new Script().then(RelayTest::lost).then(answers(200, false, "twice"));
    assertThat(refusal(run(script, route(RequestKind.NON_IDEMPOTENT, 3, false))))
        .isEqualTo(Reason.BACKEND_FAILED);
    assertThat(script.calls).hasSize(1);
  }

  @Example
  void saleThatDidNotRunIsSentElsewhere() {
    Script script =
        new Script()
            .then(RelayTest::unreachable)
            .then(answers(503, true, "full"))
            .then(answers(200, false, "ok"));
    assertThat(text(run(script, route(RequestKind.NON_IDEMPOTENT, 1, false)))).isEqualTo("200:ok");
    assertThat(script.calls).extracting(BackendPort.Call::server).doesNotHaveDuplicates();
  }

  @Example
  void saleThatNobodyTookIsRefusedAsNotRun() {
    Script script = new Script();
    IntStream.range(0, 4).forEach(i -> script.then(answers(503, true, "full")));
    assertThat(refusal(run(script, route(RequestKind.NON_IDEMPOTENT, 1, false))))
        .isIn(Reason.NOT_TAKEN, Reason.TOO_LATE);
  }

  @Example
  void saleWhoseConnectionNeverOpenedIsRefusedAsNotRun() {
    Script script = new Script().then(call -> Flux.never());
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    assertThat(refusal(run(script, route, Duration.ofMillis(300)))).isEqualTo(Reason.NOT_TAKEN);
  }

  @Example
  void saleThatIsUnansweredAtItsLimitMayHaveRun() {
    Script script =
        new Script()
            .then(
                call -> {
                  call.left().mark();
                  return Flux.never();
                });
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    assertThat(refusal(run(script, route, Duration.ofMillis(300))))
        .isEqualTo(Reason.BACKEND_TIMEOUT);
  }

  @Example
  void requestThatNoServerIsFreeForIsToldToComeBack() {
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    Script script = new Script();
    IntStream.range(0, 3).forEach(i -> script.then(answers(503, true, "full")));
    assertThat(refusal(run(script, route, LIMIT))).isEqualTo(Reason.TOO_LATE);
  }

  @Example
  void errorOfTheLastServerIsPassedOnAsItIs() {
    Script script =
        new Script().then(answers(500, false, "first")).then(answers(500, false, "second"));
    assertThat(text(run(script, route(RequestKind.IDEMPOTENT, 2, false)))).isEqualTo("500:second");
  }

  @Example
  void lookUpIsTriedOnNoMoreServersThanTheRouteAllows() {
    Script script =
        new Script().then(RelayTest::lost).then(RelayTest::lost).then(answers(200, false, "third"));
    assertThat(refusal(run(script, route(RequestKind.IDEMPOTENT, 2, false))))
        .isEqualTo(Reason.BACKEND_FAILED);
    assertThat(script.calls).hasSize(2);
  }

  @Example
  void brokenStreamGoesOnElsewhereAfterTheLastWholeEvent() {
    Script script =
        new Script()
            .then(breaksAfter("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
            .then(answers(200, false, "id: 3\ndata: c\n\n"));
    assertThat(text(run(script, route(RequestKind.STREAM, 2, true))))
        .isEqualTo("200:id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assertThat(script.calls.get(1).resumeAfter()).hasValue(2);
  }

  @Example
  void eventsThatTheCallerHasAreNotRepeated() {
    Script script =
        new Script()
            .then(breaksAfter("id: 1\ndata: a\n\n"))
            .then(answers(200, false, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    assertThat(text(run(script, route(RequestKind.STREAM, 2, true))))
        .isEqualTo("200:id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  @Example
  void brokenStreamThatMayNotBeResumedEndsAsBroken() {
    Script script = new Script().then(breaksAfter("id: 1\ndata: a\n\n"));
    assertThat(refusal(run(script, route(RequestKind.STREAM, 2, false))))
        .isEqualTo(Reason.ANSWER_BROKEN);
  }

  @Example
  void streamThatEndsWithinAnEventIsNotWhole() {
    Script script = new Script().then(answers(200, false, "id: 1\ndata: a\n\nid: 2\nda"));
    assertThat(refusal(run(script, route(RequestKind.STREAM, 1, false))))
        .isEqualTo(Reason.ANSWER_BROKEN);
  }
}
