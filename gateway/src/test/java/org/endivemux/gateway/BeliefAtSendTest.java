package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.routing.fleet.PromptShape;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Checks that what an entry believed when it bound a request is checked again when it sends it.
 *
 * <p>The event loop has just had a slow turn, so that a bound request is sent some turns later.
 */
final class BeliefAtSendTest {
  private static final GatewayServer FIRST = RelayRuns.server(1);
  private static final GatewayServer SECOND = RelayRuns.server(2);

  private final VirtualTimeScheduler loop = VirtualTimeScheduler.create();
  private final AtomicLong nanos = new AtomicLong();
  private final EventLoopStall stall = new EventLoopStall(nanos::get, loop);
  private final ServerPool pool = Fixtures.pool(System::nanoTime);
  private final ScriptedBackend backend =
      new ScriptedBackend().then(ScriptedBackend.responds(200, false, "body"));

  /** Returns the server that gets a request which was bound to the first one before a change. */
  private BackendServerId serverAfter(Consumer<ServerPool> change) {
    pool.updateServers(List.of(FIRST), 0);
    stall.start();
    nanos.addAndGet(Duration.ofMillis(100).toNanos());
    RelayRuns.run(
            backend,
            RelayRuns.admitted(
                RelayRuns.route(RequestKind.NON_IDEMPOTENT, 1, false),
                RelayRuns.LIMIT,
                PromptShape.none()),
            1,
            new PlannedStop(),
            pool,
            stall)
        .subscribe();
    assertThat(backend.calls).isEmpty();
    change.accept(pool);
    loop.advanceTimeBy(Duration.ofSeconds(1));
    assertThat(backend.calls).hasSize(1);
    return backend.calls.get(0).server().id();
  }

  /** Guards against a request to a server that was listed as leaving after the binding. */
  @Example
  void serverThatIsListedAsLeavingGetsNothing() {
    assertThat(serverAfter(it -> it.updateServers(List.of(FIRST.asLeaving(), SECOND), 0)))
        .isEqualTo(SECOND.id());
  }

  /** Guards against a request to a server that said it leaves after the binding. */
  @Example
  void serverThatSaysItLeavesGetsNothing() {
    assertThat(
            serverAfter(
                it -> {
                  it.updateServers(List.of(FIRST, SECOND), 0);
                  it.feedback().leaves(FIRST);
                }))
        .isEqualTo(SECOND.id());
  }

  /** Guards against a request to a server that is gone from the list since the binding. */
  @Example
  void serverThatIsGoneGetsNothing() {
    assertThat(serverAfter(it -> it.updateServers(List.of(SECOND), 0))).isEqualTo(SECOND.id());
  }

  /** Guards against a request to a domain that was evacuated after the binding. */
  @Example
  void serverOfAnEvacuatedDomainGetsNothing() {
    GatewayServer elsewhere =
        new GatewayServer(
            SECOND.id(),
            SECOND.service(),
            SECOND.address(),
            new FailureDomain("elsewhere"),
            SECOND.slots(),
            false,
            SECOND.kind());
    assertThat(
            serverAfter(
                it -> {
                  it.updateServers(List.of(FIRST, elsewhere), 0);
                  it.updateEvacuated(Set.of(FIRST.failureDomain()));
                }))
        .isEqualTo(SECOND.id());
  }

  /** Guards against a call that is sent as to the version that the server had at the binding. */
  @Example
  void serverWithAnotherVersionIsBoundAgain() {
    GatewayServer newer = FIRST.withVersion(Optional.of(new SoftwareVersion("v2")));
    serverAfter(it -> it.updateServers(List.of(newer), 0));
    assertThat(backend.calls.get(0).server()).isEqualTo(newer);
  }
}
