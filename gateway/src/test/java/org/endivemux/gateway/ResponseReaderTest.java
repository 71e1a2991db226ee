package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.Example;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.StreamLedger;
import org.endivemux.control.voter.Clocks;
import org.endivemux.gateway.BackendPort.Response;
import org.endivemux.gateway.ResponseMemory.ResponseTooLargeException;
import org.endivemux.model.RequestId;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.routing.fleet.Binding;
import org.endivemux.routing.fleet.FleetJob;
import org.endivemux.routing.fleet.PromptShape;
import reactor.core.publisher.Flux;

/** Checks how much of responses is kept, and what their heads tell of a server. */
final class ResponseReaderTest {
  private static final ServiceName FAULTY = new ServiceName("faulty");
  private static final ServiceName SOUND = new ServiceName("sound");
  private static final int RESPONSES = 50;
  private static final byte[] PART = new byte[900 << 10];

  private final ResponseReader reader = reader(Fixtures.pool(System::nanoTime));
  private final List<Throwable> failures = new ArrayList<>();

  private static ResponseReader reader(ServerPool pool) {
    return new ResponseReader(
        pool,
        new GatewaySyncState(Clocks.system(), 5000, List::of, List::of, List::of, CrashNews::none),
        new StreamLedger(System::nanoTime),
        System::nanoTime);
  }

  private Flux<ResponsePart> read(ServiceName service, RequestKind kind, Flux<byte[]> body) {
    AdmittedRequest request = request(service, kind);
    Progress progress = new Progress(OptionalLong.empty());
    Response response =
        new Response(200, new DefaultHttpHeaders(), false, false, false, Duration.ZERO, body);
    return reader.read(request, progress, binding(service), System.nanoTime(), response);
  }

  private static AdmittedRequest request(ServiceName service, RequestKind kind) {
    return new AdmittedRequest(
        Fixtures.head("/p/x", Optional.empty(), PromptShape.none()),
        Fixtures.route(service, kind, true),
        service,
        Optional.empty(),
        1,
        false,
        0,
        1);
  }

  private static Binding binding(ServiceName service) {
    FleetJob job =
        new FleetJob(new RequestId("id"), service, 1, 0, 1, PromptShape.none(), false, Set.of());
    return new Binding(job, Fixtures.server("s", service), Optional.empty(), 0);
  }

  private void readResponsesWithoutEnd(RequestKind kind) {
    for (int i = 0; i < RESPONSES; i++) {
      var unused =
          read(FAULTY, kind, Flux.just(PART).concatWith(Flux.never()))
              .subscribe(part -> {}, failures::add);
    }
  }

  /** Guards against servers that look fast because they fail at once. */
  @Example
  void errorIsNoFirstEventOfAPrompt() {
    assertThat(pendingPrefillAfterHead(200)).isZero();
    assertThat(pendingPrefillAfterHead(500)).isPositive();
  }

  /** Returns the tokens that count as pending once a response's head has arrived. */
  private static long pendingPrefillAfterHead(int status) {
    ServerPool pool = Fixtures.pool(System::nanoTime);
    pool.updateServers(List.of(Fixtures.server("s", SOUND)), 0);
    FleetJob job =
        new FleetJob(
            new RequestId("id"),
            SOUND,
            1,
            0,
            Long.MAX_VALUE,
            new PromptShape("m", 1000, 10, List.of()),
            false,
            Set.of());
    Binding binding = pool.acquire(job).block();
    Response response =
        new Response(
            status, new DefaultHttpHeaders(), false, false, false, Duration.ZERO, Flux.never());
    var unused =
        reader(pool)
            .read(
                request(SOUND, RequestKind.IDEMPOTENT),
                new Progress(OptionalLong.empty()),
                binding,
                System.nanoTime(),
                response)
            .subscribe();
    return pool.digest().get(0).pendingPrefillTokens();
  }

  /** Guards against a limit that another server states at an address that now belongs to it. */
  @Example
  void limitCountsForTheServerThatStatesIt() {
    assertThat(limitedAfterRefusal(false)).isEqualTo(1);
    assertThat(limitedAfterRefusal(true)).isZero();
  }

  /** Returns the number of limited servers after a refusal that states a limit. */
  private static int limitedAfterRefusal(boolean addressReassigned) {
    ServerPool pool = Fixtures.pool(System::nanoTime);
    Response response =
        new Response(
            503,
            new DefaultHttpHeaders(),
            true,
            addressReassigned,
            false,
            Duration.ZERO,
            OptionalDouble.of(2),
            Optional.empty(),
            Flux.empty());
    var unused =
        reader(pool)
            .read(
                request(SOUND, RequestKind.IDEMPOTENT),
                new Progress(OptionalLong.empty()),
                binding(SOUND),
                System.nanoTime(),
                response)
            .onErrorComplete()
            .blockLast();
    return pool.figures().limitedCount();
  }

  /** Guards against responses without end that exhaust the memory for other services' responses. */
  @Example
  void bodiesWithoutEndAreEndedWhenTheyHoldTooMuch() {
    readResponsesWithoutEnd(RequestKind.IDEMPOTENT);
    assertThat(failures.size()).isGreaterThan(RESPONSES / 2);
    assertThat(failures).allMatch(ResponseTooLargeException.class::isInstance);
    List<ResponsePart> parts =
        read(SOUND, RequestKind.NON_IDEMPOTENT, Flux.just(PART)).collectList().block();
    assertThat(parts).hasSize(2);
  }

  /** Guards against single events without end that exhaust the memory together. */
  @Example
  void eventsWithoutEndAreEndedWhenTheyHoldTooMuch() {
    readResponsesWithoutEnd(RequestKind.STREAM);
    assertThat(failures.size()).isGreaterThan(RESPONSES / 2);
    assertThat(failures).allMatch(ResponseTooLargeException.class::isInstance);
  }
}
