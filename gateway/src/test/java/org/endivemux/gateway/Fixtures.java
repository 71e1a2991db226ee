package org.endivemux.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.client.StreamLedger;
import org.endivemux.control.client.StreamVersionLookup;
import org.endivemux.control.message.ControlReply.StreamVersionFound;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.Share;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamOriginSource;
import org.endivemux.routing.fleet.FleetScheduler;
import org.endivemux.routing.fleet.PromptShape;
import org.endivemux.routing.fleet.ServerNotices;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Makes requests, routes and servers for tests. Stateless. */
final class Fixtures {
  static final FailureDomain DOMAIN = new FailureDomain("a");

  private Fixtures() {}

  static final SoftwareVersion VERSION = new SoftwareVersion("v1");

  /** Returns a route of host {@code h} for paths below {@code /p/}. */
  static HostRoute route(ServiceName service, RequestKind kind, boolean open) {
    return new HostRoute(
        "r",
        "h",
        "/p/",
        kind,
        1000,
        100,
        1,
        List.of(new Share(service, 1)),
        1,
        open,
        false,
        false,
        0);
  }

  static RequestHead head(String path, Optional<String> key, PromptShape prompt) {
    return new RequestHead(
        "id",
        "h",
        HttpMethod.POST,
        path,
        key,
        OptionalLong.empty(),
        OptionalLong.empty(),
        Optional.empty(),
        prompt,
        new DefaultHttpHeaders());
  }

  static GatewayServer server(String id, ServiceName service) {
    return new GatewayServer(
            new BackendServerId(id), service, "10.0.0.1", DOMAIN, 4, false, ServerKind.STEADY)
        .withVersion(Optional.of(VERSION));
  }

  /** Returns a lookup with an empty ledger and a leader that gives one answer. */
  static StreamVersionLookup versions(StreamVersionFound found) {
    return new StreamVersionLookup(
        new StreamLedger(System::nanoTime),
        new ControlClient(
            vm -> (request, limit) -> Mono.just(found), List.of(new VmId("127.0.0.1:1"))));
  }

  /** Returns a lookup that knows no stream. */
  static StreamVersionLookup noVersions() {
    return versions(new StreamVersionFound(Optional.empty(), StreamOriginSource.NONE));
  }

  static ServerPool pool(LongSupplier nanos) {
    return pool(nanos, Schedulers.parallel());
  }

  static ServerPool pool(LongSupplier nanos, Scheduler timers) {
    return pool(nanos, timers, Duration.ZERO);
  }

  /** Returns a pool for servers that serve for some time after they are listed as leaving. */
  static ServerPool pool(LongSupplier nanos, Scheduler timers, Duration serverDrain) {
    ServerNotices notices = new ServerNotices(Duration.ofMinutes(1));
    FleetScheduler scheduler = new FleetScheduler(DOMAIN, notices, serverDrain);
    return new ServerPool(scheduler, notices, nanos, timers);
  }
}
