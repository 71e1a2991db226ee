package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.gateway.RelayRuns.refusal;
import static org.endivemux.gateway.RelayRuns.text;
import static org.endivemux.gateway.ScriptedBackend.breaksAfter;
import static org.endivemux.gateway.ScriptedBackend.responds;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.endivemux.control.client.StreamVersionLookup;
import org.endivemux.control.message.ControlReply.StreamVersionFound;
import org.endivemux.gateway.BackendPort.Call;
import org.endivemux.gateway.BackendPort.Response;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamOriginSource;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/** Checks which streams go on at servers that leave and still serve, and until when. */
final class DrainingStreamTest {
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v2");
  private static final Duration DRAIN = Duration.ofSeconds(3);
  private static final long LISTED_AT_MILLIS = 1_800_000_000_000L;

  private final AtomicLong nanos = new AtomicLong();
  private final ServerPool pool = Fixtures.pool(nanos::get, Schedulers.parallel(), DRAIN);
  private final ScriptedBackend backend = new ScriptedBackend();
  private final StreamVersionLookup recorded =
      Fixtures.versions(new StreamVersionFound(Optional.of(OLD), StreamOriginSource.RECORD));

  private static GatewayServer server(int number, SoftwareVersion version) {
    return RelayRuns.server(number).withVersion(Optional.of(version));
  }

  /** Lists servers of the old version, which leave since now, beside one of the new version. */
  private void listLeaving(int... numbers) {
    List<GatewayServer> listed =
        Stream.concat(
                Arrays.stream(numbers)
                    .mapToObj(number -> server(number, OLD).leavingSince(LISTED_AT_MILLIS)),
                Stream.of(server(9, NEW)))
            .toList();
    pool.updateServers(listed, LISTED_AT_MILLIS);
  }

  private Flux<ResponsePart> run(boolean isResumption) {
    RequestHead head =
        isResumption
            ? RelayRuns.head("again", Optional.of("first"), OptionalLong.of(1))
            : RelayRuns.head("again", Optional.empty(), OptionalLong.empty());
    AdmittedRequest request =
        RelayRuns.admitted(RelayRuns.route(RequestKind.STREAM, 3, true), head);
    return RelayRuns.run(
        backend,
        request,
        50,
        new PlannedStop(),
        pool,
        new EventLoopStall(System::nanoTime, Schedulers.parallel()),
        recorded);
  }

  // Guards against resumptions that are refused although servers of their version still serve.
  @Example
  void resumedStreamGoesOnAtAServerThatLeaves() {
    listLeaving(1);
    backend.then(responds(200, false, "id: 2\ndata: b\n\n"));
    assertThat(text(run(true))).isEqualTo("200:id: 2\ndata: b\n\n");
    assertThat(backend.calls).extracting(call -> call.server().id()).containsExactly(id(1));
  }

  // Guards against a stream that ends, since its server broke while its version was leaving.
  @Example
  void brokenStreamGoesOnAtAServerThatLeaves() {
    pool.updateServers(List.of(server(1, OLD)), LISTED_AT_MILLIS);
    backend
        .then(
            call -> {
              listLeaving(1, 2);
              return breaksAfter("id: 1\ndata: a\n\n").apply(call);
            })
        .then(responds(200, false, "id: 2\ndata: b\n\n"));
    assertThat(text(run(false))).isEqualTo("200:id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assertThat(backend.calls).extracting(call -> call.server().id()).containsExactly(id(1), id(2));
  }

  // Guards against a caller who waits for a server that has ended.
  @Example
  void resumptionAfterTheDrainIsRefusedAsNotRun() {
    listLeaving(1);
    nanos.addAndGet(DRAIN.toNanos());
    assertThat(refusal(run(true))).isEqualTo(Reason.STREAM_VERSION_GONE);
    assertThat(backend.calls).isEmpty();
  }

  // Guards against a request that waits for a new connection and reaches the server too late.
  @Example
  void resumptionWhoseConnectionTakesUntilTheEndOfTheDrainIsNotSent() {
    listLeaving(1);
    backend.then(this::connectsAfterTheDrain);
    assertThat(refusal(run(true))).isEqualTo(Reason.STREAM_VERSION_GONE);
    assertThat(backend.calls).hasSize(1);
    assertThat(backend.calls.get(0).sendMarker().mayHaveSent()).isFalse();
  }

  // Guards against a new request that reaches a server which left while its connection was opened.
  @Example
  void newRequestWhoseServerLeavesWhileItConnectsIsSentElsewhere() {
    pool.updateServers(List.of(server(1, OLD)), LISTED_AT_MILLIS);
    backend
        .then(
            call -> {
              listLeaving(1);
              return sendOrFail(call);
            })
        .then(responds(200, false, "id: 1\ndata: a\n\n"));
    assertThat(text(run(false))).isEqualTo("200:id: 1\ndata: a\n\n");
    assertThat(backend.calls.get(0).sendMarker().mayHaveSent()).isFalse();
    assertThat(backend.calls.get(1).server().id()).isEqualTo(id(9));
  }

  private Flux<Response> connectsAfterTheDrain(Call call) {
    nanos.addAndGet(DRAIN.toNanos());
    return sendOrFail(call);
  }

  private static Flux<Response> sendOrFail(Call call) {
    return call.sendMarker().trySend()
        ? responds(200, false, "id: 2\ndata: b\n\n").apply(call)
        : Flux.error(new IllegalStateException("not sent"));
  }

  private static BackendServerId id(int number) {
    return RelayRuns.server(number).id();
  }
}
