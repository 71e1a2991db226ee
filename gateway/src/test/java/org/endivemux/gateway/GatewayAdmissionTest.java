package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.UsageLedger;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.state.EntryView.NumberedChange;
import org.endivemux.control.state.ViewChange;
import org.endivemux.control.state.ViewUpdate;
import org.endivemux.control.voter.Clocks;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.Keys;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayConfigUpdate;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.OrganisationKeys;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.routing.fleet.PromptShape;
import org.endivemux.wire.Packed;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Checks what an entry says of routes and keys that its configuration does not have. */
final class GatewayAdmissionTest {
  private static final VmId LEADER = new VmId("127.0.0.1:1");
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final String KEY = "key";
  private static final Duration LIMIT = Duration.ofSeconds(20);

  private final AtomicLong nanos = new AtomicLong();
  private final AtomicBoolean leaderAnswers = new AtomicBoolean(true);
  private final Clocks clocks = new Clocks(nanos::get, () -> nanos.get() / 1_000_000);
  private final GatewaySyncState syncState =
      new GatewaySyncState(clocks, 5000, List::of, List::of, List::of, CrashNews::none);
  private final ViewFollower follower =
      new ViewFollower(
          new ControlClient(vm -> (request, limit) -> poll(), List.of(LEADER)),
          () ->
              new EntryInfo(
                  LEADER, new Incarnation("i"), new FailureDomain("d"), "a:1", "a:2", true),
          new UsageLedger(),
          syncState,
          clocks);
  private final Gateway gateway = gateway();

  private Mono<ControlReply> poll() {
    if (!leaderAnswers.get()) {
      return Mono.never();
    }
    GatewayConfigUpdate whole = GatewayConfigUpdate.whole(config());
    ViewChange change = new ViewChange.GatewayConfigured(0, Packed.of(whole));
    return Mono.just(
        new ControlReply.PollReply(
            1,
            new ViewUpdate(Optional.empty(), List.of(new NumberedChange(1, change))),
            1,
            Optional.empty(),
            new ControlReply.GatewayPollReply(
                0, Optional.empty(), 0, List.of(), Optional.empty(), Optional.empty())));
  }

  private static GatewayConfig config() {
    return new GatewayConfig(
        1,
        List.of(Fixtures.route(SERVICE, RequestKind.IDEMPOTENT, false)),
        List.of(new ServiceSpec(SERVICE, 8, Optional.empty(), Optional.empty())),
        ClientLimits.defaults(),
        List.of(
            new OrganisationKeys(
                new OrganisationId("o"), List.of(Keys.digest(KEY)), OptionalInt.empty())));
  }

  private Gateway gateway() {
    BackendPort backends = new NoBackends();
    return new Gateway(
        follower,
        Fixtures.pool(nanos::get),
        backends,
        syncState,
        Fixtures.noVersions(),
        new CrashWatch(backends, nanos::get, Schedulers.parallel()),
        new GatewayCounters(new MetricRegistry()),
        () -> 1,
        new ServiceRetryAllowances(
            new ServiceRetryAllowances.Limits(0.2, 10, 50), () -> 1, nanos::get),
        Optional.empty(),
        new PlannedStop(),
        new EventLoopStall(nanos::get, Schedulers.parallel()),
        nanos::get,
        Schedulers.parallel());
  }

  private Optional<Reason> refusal(String path, String key) {
    Optional<String> stated = Optional.of(key).filter(some -> !some.isEmpty());
    RequestHead head = Fixtures.head(path, stated, PromptShape.none());
    Either<GatewayRefusal, AdmittedRequest> decision = gateway.admit(head);
    return decision.isLeft() ? Optional.of(decision.getLeft().reason()) : Optional.empty();
  }

  private void learnConfiguration() throws InterruptedException {
    CountDownLatch learned = new CountDownLatch(1);
    follower.onChange(learned::countDown);
    follower.start();
    assertThat(learned.await(LIMIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    assertThat(gateway.isConfigured()).isTrue();
    leaderAnswers.set(false);
  }

  @Example
  void entryWithFreshStateRefusesWhatItDoesNotHave() throws InterruptedException {
    learnConfiguration();
    assertThat(refusal("/p/x", KEY)).isEmpty();
    assertThat(refusal("/other/", KEY)).contains(Reason.UNKNOWN_ROUTE);
    assertThat(refusal("/p/x", "other")).contains(Reason.WRONG_KEY);
    assertThat(refusal("/p/x", "")).contains(Reason.NO_KEY);
  }

  /** Guards against a final refusal by an entry that may lack a newer configuration. */
  @Example
  void entryWithoutFreshStateDoesNotRefuseForGood() throws InterruptedException {
    learnConfiguration();
    nanos.addAndGet(Duration.ofSeconds(3).toNanos());
    assertThat(refusal("/p/x", KEY)).isEmpty();
    assertThat(refusal("/other/", KEY)).contains(Reason.STALE_STATE);
    assertThat(refusal("/p/x", "other")).contains(Reason.STALE_STATE);
    assertThat(refusal("/p/x", "")).contains(Reason.STALE_STATE);
  }

  /** Has no backend servers. */
  private static final class NoBackends implements BackendPort {
    @Override
    public <T> Flux<T> send(Call call, Function<Response, Flux<T>> reader) {
      return Flux.error(new AssertionError("No request is sent."));
    }

    @Override
    public Mono<Boolean> isGone(GatewayServer server) {
      return Mono.just(false);
    }
  }
}
