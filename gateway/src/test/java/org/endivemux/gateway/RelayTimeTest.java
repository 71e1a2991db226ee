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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Checks what ends an attempt or a request, and when. */
final class RelayTimeTest {
  @Example
  void nonIdempotentRequestWhoseConnectionNeverOpensIsRefusedAsNotRun() {
    ScriptedBackend backend = new ScriptedBackend().then(call -> Flux.never());
    HostRoute route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    assertThat(refusal(run(backend, route, Duration.ofMillis(300)))).isEqualTo(Reason.NOT_TAKEN);
  }

  /** Guards against a stream that runs for a caller that gave up while the entry was stalled. */
  @Example
  void streamIsNotSentWhenItsCallerMustHaveGivenUp() {
    HostRoute route = route(RequestKind.STREAM, 1, false);
    AdmittedRequest request = admitted(route, LIMIT, PromptShape.none(), Duration.ofSeconds(-25));
    ScriptedBackend backend = new ScriptedBackend().then(responds(200, false, "late"));
    assertThat(refusal(run(backend, request, 50))).isEqualTo(Reason.TOO_LATE);
    assertThat(backend.calls).isEmpty();
  }

  @Example
  void nonIdempotentRequestThatTimesOutMayHaveRun() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(
                call -> {
                  call.sendMarker().trySend();
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
              call.sendMarker().trySend();
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
}
