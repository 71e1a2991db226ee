package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.gateway.RelayRuns.LIMIT;
import static org.endivemux.gateway.RelayRuns.admitted;
import static org.endivemux.gateway.RelayRuns.refusal;
import static org.endivemux.gateway.RelayRuns.route;
import static org.endivemux.gateway.RelayRuns.run;
import static org.endivemux.gateway.RelayRuns.text;
import static org.endivemux.gateway.ScriptedBackend.responds;

import net.jqwik.api.Example;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Flux;

/** Checks what becomes of requests in a planned stop. */
final class RelayStopTest {
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
}
