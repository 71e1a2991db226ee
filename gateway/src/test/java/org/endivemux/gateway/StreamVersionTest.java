package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.gateway.RelayRuns.refusal;
import static org.endivemux.gateway.RelayRuns.route;
import static org.endivemux.gateway.RelayRuns.text;
import static org.endivemux.gateway.ScriptedBackend.breaksAfter;
import static org.endivemux.gateway.ScriptedBackend.responds;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.endivemux.gateway.BackendPort.Call;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Flux;

/** Checks at which versions of the servers' software a broken stream goes on. */
final class StreamVersionTest {
  private static final double RETRY_SLACK = 50;

  private static GatewayServer server(int number, String version) {
    return RelayRuns.server(number).withVersion(Optional.of(new SoftwareVersion(version)));
  }

  private static Flux<ResponsePart> run(ScriptedBackend backend, List<GatewayServer> servers) {
    return RelayRuns.run(
        backend,
        RelayRuns.admitted(route(RequestKind.STREAM, 4, true), RelayRuns.LIMIT, PromptShape.none()),
        RETRY_SLACK,
        new PlannedStop(),
        servers);
  }

  /** Guards against an answer that is joined from the texts of two versions. */
  @Property(tries = 60, seed = "48")
  void streamGoesOnAtTheVersionThatBeganIt(
      @ForAll @Size(min = 2, max = 8) List<@IntRange(min = 1, max = 3) Integer> versions,
      @ForAll @IntRange(min = 1, max = 3) int breaks) {
    ScriptedBackend backend = new ScriptedBackend();
    IntStream.rangeClosed(1, breaks)
        .forEach(i -> backend.then(breaksAfter("id: " + i + "\ndata: x\n\n")));
    backend.then(responds(200, false, "id: 9\ndata: z\n\n"));
    List<GatewayServer> servers =
        IntStream.range(0, versions.size())
            .mapToObj(i -> server(i, "v" + versions.get(i)))
            .toList();

    Optional<Reason> refused = Optional.ofNullable(refusal(run(backend, servers)));

    List<SoftwareVersion> used =
        backend.calls.stream().map(Call::server).flatMap(it -> it.version().stream()).toList();
    long alike = servers.stream().filter(it -> it.version().get().equals(used.get(0))).count();
    assertThat(used).containsOnly(used.get(0)).hasSize((int) Math.min(alike, breaks + 1L));
    assertThat(refused)
        .isEqualTo(alike > breaks ? Optional.empty() : Optional.of(Reason.ANSWER_BROKEN));
  }

  /** Guards against a request that is kept from other versions before it has any event. */
  @Example
  void requestWithoutAnEventMayGoToAnotherVersion() {
    ScriptedBackend backend =
        new ScriptedBackend()
            .then(ScriptedBackend::connectionReset)
            .then(responds(200, false, "id: 1\ndata: a\n\n"));
    assertThat(text(run(backend, List.of(server(1, "v1"), server(2, "v2")))))
        .isEqualTo("200:id: 1\ndata: a\n\n");
  }

  /** Guards against the belief that servers whose versions are not stated have the same one. */
  @Example
  void streamOfAServerWithoutAVersionDoesNotGoOnElsewhere() {
    ScriptedBackend backend = new ScriptedBackend().then(breaksAfter("id: 1\ndata: a\n\n"));
    List<GatewayServer> unstated =
        IntStream.range(0, 3)
            .mapToObj(i -> RelayRuns.server(i).withVersion(Optional.empty()))
            .toList();
    assertThat(refusal(run(backend, unstated))).isEqualTo(Reason.ANSWER_BROKEN);
    assertThat(backend.calls).hasSize(1);
  }
}
