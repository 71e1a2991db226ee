package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.gateway.RelayRuns.refusal;
import static org.endivemux.gateway.RelayRuns.route;
import static org.endivemux.gateway.RelayRuns.run;
import static org.endivemux.gateway.RelayRuns.text;
import static org.endivemux.gateway.ScriptedBackend.breaksAfter;
import static org.endivemux.gateway.ScriptedBackend.responds;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.RequestKind;
import reactor.core.publisher.Flux;

/** Checks which events of a stream are passed on when servers fail. */
final class RelayStreamTest {
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
