package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.gateway.RelayRuns.route;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.endivemux.gateway.BackendPort.Call;
import org.endivemux.gateway.BackendPort.Response;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Tests second attempts beside a late first one, in virtual time. The first byte usually takes 100
 * ms, so a request is late after 150 ms.
 */
final class HedgedAttemptTest {
  private static final HostRoute IDEMPOTENT = route(RequestKind.IDEMPOTENT, 2, false);
  private static final HostRoute RESUMABLE = route(RequestKind.STREAM, 2, true);

  private final HedgeRun run = new HedgeRun();
  private final ScriptedBackend backend = run.backend;
  private final List<GatewayServer> cancelled = new ArrayList<>();

  /** Guards against a caller that waits for one slow server while another one is free. */
  @Example
  void lateRequestGetsTheResponseOfTheSecondServerAndTheFirstAttemptIsCancelled() {
    backend.then(cancellable(HedgedAttemptTest::silent)).then(after(100, "second"));
    run.start(IDEMPOTENT, 3);
    run.advance(149);
    assertThat(backend.calls).hasSize(1);
    run.advance(102);
    assertThat(run.received).hasToString("200:second");
    assertThat(backend.calls).extracting(Call::server).doesNotHaveDuplicates().hasSize(2);
    assertThat(cancelled).containsExactly(backend.calls.get(0).server());
    assertThat(run.count("SENT")).isEqualTo(1);
    assertThat(run.count("WON")).isEqualTo(1);
    assertThat(run.pool.loads()).allMatch(load -> load.requests() == 0);
  }

  /** Guards against events of two streams in one response. */
  @Example
  void onlyTheStreamThatBeginsFirstIsPassedOn() {
    backend
        .then(after(200, event(1, "a"), event(2, "b")))
        .then(cancellable(after(60, event(1, "x"), event(2, "y"))));
    run.start(RESUMABLE, 3);
    run.advance(1000);
    assertThat(run.received).hasToString("200:" + event(1, "a") + event(2, "b"));
    assertThat(run.completions).isEqualTo(1);
    assertThat(cancelled).containsExactly(backend.calls.get(1).server());
    assertThat(run.count("LOST")).isEqualTo(1);
  }

  /** Guards against a request that ends with the first failure although another attempt runs. */
  @Example
  void failureOfOneAttemptLeavesTheOtherGoing() {
    backend.then(failsAfter(170)).then(after(100, "second"));
    run.start(IDEMPOTENT, 3);
    run.advance(251);
    assertThat(run.received).hasToString("200:second");
    assertThat(run.errors).isEmpty();
  }

  /** Guards against a failed first attempt that waits for the delay. */
  @Example
  void failureBeforeTheDelayIsRetriedAtOnceWithoutAHedge() {
    backend.then(failsAfter(50)).then(after(10, "retried"));
    run.start(IDEMPOTENT, 3);
    run.advance(61);
    assertThat(run.received).hasToString("200:retried");
    run.advance(1000);
    assertThat(backend.calls).hasSize(2);
    assertThat(run.count("SENT")).isZero();
  }

  /** Guards against a third run of a request that may run on two servers. */
  @Example
  void failuresOfBothAttemptsCountAsTwoRuns() {
    backend.then(failsAfter(300)).then(failsAfter(50)).then(after(1, "third"));
    run.start(IDEMPOTENT, 3);
    run.advance(1000);
    assertThat(backend.calls).hasSize(2);
    assertThat(run.refusal()).isEqualTo(Reason.BACKEND_FAILED);
  }

  /** Guards against a stream that runs on a third server after the winner broke. */
  @Example
  void cancelledAttemptCountsAsARunWhenTheWinnerBreaks() {
    backend
        .then(HedgedAttemptTest::silent)
        .then(brokenAfter(50, event(1, "a")))
        .then(after(1, event(1, "a"), event(2, "b")));
    run.start(RESUMABLE, 3);
    run.advance(1000);
    assertThat(backend.calls).hasSize(2);
    assertThat(run.refusal()).isEqualTo(Reason.ANSWER_BROKEN);
  }

  /** Guards against events of both streams when they begin in the same turn of the event loop. */
  @Example
  void streamsThatBeginAtTheSameTimeAreNotMixed() {
    backend
        .then(after(250, event(1, "a"), event(2, "b")))
        .then(after(100, event(1, "x"), event(2, "y")));
    run.start(RESUMABLE, 3);
    run.advance(1000);
    assertThat(run.received.toString())
        .isIn("200:" + event(1, "a") + event(2, "b"), "200:" + event(1, "x") + event(2, "y"));
  }

  /**
   * Guards against a run of the second server that is not counted because the first attempt, which
   * was cancelled, had not been sent.
   */
  @Example
  void brokenWinnerCountsAsARunWhenTheFirstAttemptWasNotSent() {
    backend
        .then(call -> Flux.never())
        .then(brokenAfter(50, event(1, "a")))
        .then(brokenAfter(50, event(2, "b")))
        .then(after(1, event(3, "c")));
    run.start(RESUMABLE, 4);
    run.advance(1500);
    assertThat(backend.calls).hasSize(3);
    assertThat(run.refusal()).isEqualTo(Reason.ANSWER_BROKEN);
  }

  /** Guards against an attempt that is ended for its silence when no further server is allowed. */
  @Example
  void silentFirstAttemptGoesOnWhileTheSecondRunsOnTheLastServerAllowed() {
    backend.then(after(1400, "first")).then(HedgedAttemptTest::silent);
    run.start(IDEMPOTENT, 3);
    run.advance(1500);
    assertThat(run.received).hasToString("200:first");
    assertThat(backend.calls).hasSize(2);
  }

  /** Guards against "may have run" for a request that both servers certainly did not run. */
  @Example
  void requestThatBothServersRefuseIsStillSentElsewhere() {
    backend.then(notRunAfter(200)).then(notRunAfter(100)).then(after(1, "third"));
    run.start(route(RequestKind.IDEMPOTENT, 2, false), 3);
    run.advance(1000);
    assertThat(run.received).hasToString("200:third");
  }

  /**
   * Guards against a second run of a request that may run once, whatever the configuration says.
   */
  @Example
  void requestThatMayRunOnceIsNeverHedged() {
    for (HostRoute once :
        List.of(
            route(RequestKind.NON_IDEMPOTENT, 3, true),
            route(RequestKind.STREAM, 3, false),
            route(RequestKind.IDEMPOTENT, 1, false))) {
      backend.calls.clear();
      backend.then(after(1000, event(1, "late")));
      run.start(once, 3);
      run.advance(2000);
      assertThat(backend.calls).hasSize(1);
    }
  }

  /** Guards against hedges beyond the repeats that all entries together may send. */
  @Example
  void noHedgeIsSentWithoutARepeatLeft() {
    run.retrySlack = 0;
    backend.then(after(400, "first"));
    run.start(IDEMPOTENT, 3);
    run.advance(1000);
    assertThat(run.received).hasToString("200:first");
    assertThat(run.count("NO_REPEAT_LEFT")).isEqualTo(1);
    assertThat(run.pool.loads()).allMatch(load -> load.requests() == 0);
  }

  /** Guards against hedges that take the slots of requests which wait. */
  @Example
  void noHedgeIsSentWhenNoOtherServerHasAFreeSlot() {
    backend.then(after(400, "first"));
    run.start(IDEMPOTENT, 1);
    run.advance(1000);
    assertThat(run.received).hasToString("200:first");
    assertThat(run.count("NO_FASTER_SERVER")).isEqualTo(1);
  }

  @Example
  void callerThatLeavesEndsBothAttempts() {
    backend
        .then(cancellable(HedgedAttemptTest::silent))
        .then(cancellable(HedgedAttemptTest::silent));
    Disposable caller = run.start(IDEMPOTENT, 3);
    run.advance(200);
    caller.dispose();
    assertThat(cancelled).hasSize(2);
    assertThat(run.pool.loads()).allMatch(load -> load.requests() == 0);
  }

  private static String event(int position, String text) {
    return "id: " + position + "\ndata: " + text + "\n\n";
  }

  private static Flux<Response> silent(Call call) {
    return sent(call, Flux.never());
  }

  private static Flux<Response> sent(Call call, Flux<Response> response) {
    return call.sendMarker().trySend() ? response : Flux.error(new IllegalStateException());
  }

  private Function<Call, Flux<Response>> cancellable(Function<Call, Flux<Response>> response) {
    return call -> response.apply(call).doOnCancel(() -> cancelled.add(call.server()));
  }

  private Function<Call, Flux<Response>> after(long millis, String... chunks) {
    Flux<byte[]> body = Flux.fromArray(chunks).map(text -> text.getBytes(StandardCharsets.UTF_8));
    return responds(millis, 200, false, body.delayElements(Duration.ofMillis(1), run.time));
  }

  private Function<Call, Flux<Response>> brokenAfter(long millis, String event) {
    return responds(
        millis,
        200,
        false,
        Flux.just(event.getBytes(StandardCharsets.UTF_8))
            .concatWith(Flux.error(new IllegalStateException("broken"))));
  }

  private Function<Call, Flux<Response>> notRunAfter(long millis) {
    return responds(millis, 503, true, Flux.empty());
  }

  private Function<Call, Flux<Response>> failsAfter(long millis) {
    return call ->
        sent(call, pause(millis).thenMany(Flux.error(new IllegalStateException("reset"))));
  }

  private Function<Call, Flux<Response>> responds(
      long millis, int status, boolean notRun, Flux<byte[]> body) {
    Response response =
        new Response(status, new DefaultHttpHeaders(), notRun, false, false, Duration.ZERO, body);
    return call -> sent(call, pause(millis).thenMany(Flux.just(response)));
  }

  private Mono<Long> pause(long millis) {
    return Mono.delay(Duration.ofMillis(millis), run.time);
  }
}
