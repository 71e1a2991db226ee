package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.gateway.RelayRuns.refusal;
import static org.endivemux.gateway.RelayRuns.text;
import static org.endivemux.gateway.ScriptedBackend.breaksAfter;
import static org.endivemux.gateway.ScriptedBackend.responds;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import org.endivemux.control.client.StreamVersionLookup;
import org.endivemux.control.message.ControlReply.StreamVersionFound;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamOriginSource;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/** Checks at which version a stream goes on that a caller resumes. */
final class StreamResumptionTest {
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v2");
  private static final StreamVersionFound UNKNOWN =
      new StreamVersionFound(Optional.empty(), StreamOriginSource.NONE);

  private final ScriptedBackend backend = new ScriptedBackend();
  private final ServerPool pool = Fixtures.pool(System::nanoTime);

  private static GatewayServer server(int number, SoftwareVersion version) {
    return RelayRuns.server(number).withVersion(Optional.of(version));
  }

  private static StreamVersionFound recorded(SoftwareVersion version) {
    return new StreamVersionFound(Optional.of(version), StreamOriginSource.RECORD);
  }

  private Flux<ResponsePart> run(RequestHead head, StreamVersionLookup versions) {
    AdmittedRequest request =
        RelayRuns.admitted(RelayRuns.route(RequestKind.STREAM, 2, true), head);
    return RelayRuns.run(
        backend,
        request,
        50,
        new PlannedStop(),
        pool,
        new EventLoopStall(System::nanoTime, Schedulers.parallel()),
        versions);
  }

  private static RequestHead head(String id, Optional<String> resumes) {
    return RelayRuns.head(
        id, resumes, resumes.isPresent() ? OptionalLong.of(1) : OptionalLong.empty());
  }

  private static RequestHead resume(String id) {
    return head(id, Optional.of("first"));
  }

  /** Guards against a stream that goes on at another version after its entry was lost. */
  @Example
  void streamGoesOnAtTheRecordedVersion() {
    pool.updateServers(List.of(server(1, NEW), server(2, NEW), server(3, OLD), server(4, NEW)), 0);
    backend.then(responds(200, false, "id: 2\ndata: b\n\n"));
    StreamVersionLookup versions = Fixtures.versions(recorded(OLD));

    assertThat(text(run(resume("second"), versions))).isEqualTo("200:id: 2\ndata: b\n\n");

    assertThat(backend.calls.get(0).server()).isEqualTo(server(3, OLD));
  }

  /** Guards against the conclusion that the only version that serves now began the stream. */
  @Example
  void unknownVersionIsRefusedAsNotRun() {
    pool.updateServers(List.of(server(1, NEW)), 0);
    assertThat(refusal(run(resume("second"), Fixtures.versions(UNKNOWN))))
        .isEqualTo(Reason.STREAM_VERSION_UNKNOWN);
    assertThat(backend.calls).isEmpty();
  }

  /** Guards against a caller who waits for a version that no server has any more. */
  @Example
  void versionWithoutAServerIsRefusedAtOnce() {
    pool.updateServers(List.of(server(1, NEW), server(2, OLD).asLeaving()), 0);
    assertThat(refusal(run(resume("second"), Fixtures.versions(recorded(OLD)))))
        .isEqualTo(Reason.STREAM_VERSION_GONE);
    assertThat(backend.calls).isEmpty();
  }

  /** Guards against a caller who can not begin anew after a refused resumption. */
  @Example
  void callerMayBeginAnew() {
    pool.updateServers(List.of(server(1, NEW)), 0);
    StreamVersionLookup versions = Fixtures.versions(UNKNOWN);
    assertThat(refusal(run(resume("second"), versions))).isEqualTo(Reason.STREAM_VERSION_UNKNOWN);
    backend.then(responds(200, false, "id: 1\ndata: a\n\n"));
    assertThat(text(run(head("third", Optional.empty()), versions)))
        .isEqualTo("200:id: 1\ndata: a\n\n");
  }

  /** Guards against a second resumption that is not known by the first attempt of its stream. */
  @Example
  void entryKnowsTheStreamsItBeganByTheirFirstAttempt() {
    pool.updateServers(List.of(server(1, OLD)), 0);
    StreamVersionLookup versions = Fixtures.versions(UNKNOWN);
    backend.then(breaksAfter("id: 1\ndata: a\n\n"));
    assertThat(refusal(run(head("first", Optional.empty()), versions)))
        .isEqualTo(Reason.ANSWER_BROKEN);
    pool.updateServers(List.of(server(2, NEW), server(3, OLD), server(4, OLD)), 0);
    backend.then(breaksAfter("id: 2\ndata: b\n\n")).then(ScriptedBackend::connectionReset);
    refusal(run(resume("second"), versions));
    backend.then(responds(200, false, "id: 3\ndata: c\n\n"));
    assertThat(text(run(resume("third"), versions))).isEqualTo("200:id: 3\ndata: c\n\n");

    assertThat(backend.calls).allSatisfy(call -> assertThat(call.server().version()).hasValue(OLD));
    assertThat(versions.ledger().version(RelayRuns.SERVICE, StreamKey.of("first"))).hasValue(OLD);
  }

  /** Guards against a new stream that replaces the record of another caller's stream. */
  @Example
  void newStreamCanNotNameAnotherAttempt() {
    StreamVersionLookup versions = Fixtures.versions(UNKNOWN);
    pool.updateServers(List.of(server(1, OLD)), 0);
    backend.then(responds(200, false, "id: 1\ndata: a\n\n"));
    text(run(head("first", Optional.empty()), versions));
    pool.updateServers(List.of(server(2, NEW)), 0);
    backend.then(responds(200, false, "id: 1\ndata: b\n\n"));
    text(run(RelayRuns.head("other", Optional.of("first"), OptionalLong.empty()), versions));

    assertThat(versions.ledger().version(RelayRuns.SERVICE, StreamKey.of("first"))).hasValue(OLD);
    assertThat(versions.ledger().version(RelayRuns.SERVICE, StreamKey.of("other"))).hasValue(NEW);
  }
}
