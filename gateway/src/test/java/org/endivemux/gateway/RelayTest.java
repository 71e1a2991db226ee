package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.gateway.RelayRuns.LIMIT;
import static org.endivemux.gateway.RelayRuns.admitted;
import static org.endivemux.gateway.RelayRuns.refusal;
import static org.endivemux.gateway.RelayRuns.route;
import static org.endivemux.gateway.RelayRuns.run;
import static org.endivemux.gateway.RelayRuns.text;
import static org.endivemux.gateway.ScriptedBackend.responds;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.routing.fleet.PromptPart;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Checks which requests are retried or refused and which responses are passed on. */
final class RelayTest {
  @Example
  void completeResponseIsPassedOn() {
    ScriptedBackend backend = new ScriptedBackend().then(responds(200, false, "ab", "c"));
    assertThat(text(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false))))
        .isEqualTo("200:abc");
  }

  @Example
  void nonIdempotentRequestWithLostResponseIsNeitherRetriedNorReportedAsNotRun() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(ScriptedBackend::connectionReset)
            .then(responds(200, false, "twice"));
    assertThat(refusal(run(backend, route(RequestKind.NON_IDEMPOTENT, 3, false))))
        .isEqualTo(Reason.BACKEND_FAILED);
    assertThat(backend.calls).hasSize(1);
  }

  @Example
  void nonIdempotentRequestThatDidNotRunIsSentElsewhere() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(ScriptedBackend::unreachable)
            .then(responds(503, true, "full"))
            .then(responds(200, false, "ok"));
    assertThat(text(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false)))).isEqualTo("200:ok");
    assertThat(backend.calls).extracting(BackendPort.Call::server).doesNotHaveDuplicates();
  }

  /** Guards against a sale that runs twice: its first attempt counts as not sent, then is sent. */
  @Example
  void attemptThatCountsAsNotSentCanNotBeSentLater() {
    ScriptedBackend backend = new ScriptedBackend();
    AtomicInteger runs = new AtomicInteger();
    backend
        .then(ScriptedBackend::unreachable)
        .then(
            call -> {
              backend.calls.stream()
                  .filter(each -> each.sendMarker().trySend())
                  .forEach(each -> runs.incrementAndGet());
              return ScriptedBackend.responds(200, false, "ok").apply(call);
            });
    assertThat(text(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false)))).isEqualTo("200:ok");
    assertThat(runs).hasValue(1);
  }

  /** Guards against a send after the caller has been told that its request did not run. */
  @Example
  void attemptIsNotSentAfterItsRequestWasRefusedAsNotRun() {
    ScriptedBackend backend = new ScriptedBackend().then(call -> Flux.never());
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    assertThat(refusal(run(backend, route, Duration.ofMillis(300)))).isEqualTo(Reason.NOT_TAKEN);
    assertThat(backend.calls.get(0).sendMarker().trySend()).isFalse();
  }

  /** Guards against a send for a caller that has left while its attempt was connecting. */
  @Example
  void attemptIsNotSentAfterItsCallerHasLeft() {
    ScriptedBackend backend = new ScriptedBackend().then(call -> Flux.never());
    run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false)).subscribe().dispose();
    assertThat(backend.calls.get(0).sendMarker().trySend()).isFalse();
  }

  @Example
  void nonIdempotentRequestThatNoServerAcceptsIsRefusedAsNotRun() {
    ScriptedBackend backend = new ScriptedBackend();
    IntStream.range(0, 4).forEach(i -> backend.then(responds(503, true, "full")));
    assertThat(refusal(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false))))
        .isIn(Reason.NOT_TAKEN, Reason.TOO_LATE);
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
            .then(ScriptedBackend::connectionReset)
            .then(ScriptedBackend::connectionReset)
            .then(responds(200, false, "third"));
    assertThat(refusal(run(backend, route(RequestKind.IDEMPOTENT, 2, false))))
        .isEqualTo(Reason.BACKEND_FAILED);
    assertThat(backend.calls).hasSize(2);
  }

  /** Guards against prompts being blamed for servers that were down before they were sent. */
  @Example
  void serverIsCheckedForACrashOnlyAfterAnAttemptThatWasSent() {
    PromptShape prompt =
        new PromptShape(
            "m", 30, 10, List.of(new PromptPart("shared", 20), new PromptPart("own", 10)));
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    ScriptedBackend down = new ScriptedBackend();
    IntStream.range(0, 4).forEach(i -> down.then(ScriptedBackend::unreachable));
    refusal(run(down, admitted(route, LIMIT, prompt), 50));
    ScriptedBackend crashing = new ScriptedBackend().then(ScriptedBackend::connectionReset);
    refusal(run(crashing, admitted(route, LIMIT, prompt), 50));
    Mono.delay(Duration.ofMillis(20)).repeat(() -> crashing.checks.get() == 0).blockLast(LIMIT);
    assertThat(down.checks).hasValue(0);
    assertThat(crashing.checks).hasValue(1);
  }

  /** Guards against a response that is kept although it takes much of the shared memory. */
  @Example
  void errorResponseThatIsTooLongToKeepIsNotPassedOn() {
    String tooLong = "x".repeat(ResponseReader.MAX_RETAINED_BYTES + 1);
    ScriptedBackend backend = new ScriptedBackend().then(responds(500, false, tooLong));
    assertThat(refusal(run(backend, route(RequestKind.NON_IDEMPOTENT, 1, false))))
        .isEqualTo(Reason.BACKEND_FAILED);
  }
}
