package org.endivemux.control.voter;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.Share;

/** Makes configurations with many routes. Stateless. */
public final class LargeConfigs {
  private static final ServiceName SERVICE = new ServiceName("llm");

  private LargeConfigs() {}

  /** Returns a version in which one route differs from the version before. */
  public static GatewayConfig withOneChangedRoute(long version, int routes) {
    return config(
        version, IntStream.range(0, routes).mapToObj(i -> route(i, i == 0 ? version : 0)));
  }

  /** Returns a version in which all routes differ from the version before. */
  public static GatewayConfig withAllRoutesChanged(long version, int routes) {
    return config(version, IntStream.range(0, routes).mapToObj(i -> route(i, version)));
  }

  private static GatewayConfig config(long version, Stream<HostRoute> routes) {
    return new GatewayConfig(
        version,
        routes.toList(),
        List.of(new ServiceSpec(SERVICE, 64, Optional.empty(), Optional.empty())),
        ClientLimits.defaults(),
        List.of());
  }

  private static HostRoute route(int number, long extraMillis) {
    return new HostRoute(
        "r-" + number,
        "host" + number % 7 + ".example",
        "/prefix" + number + "/",
        RequestKind.STREAM,
        15_000 + extraMillis,
        1500,
        2,
        List.of(new Share(SERVICE, 1)),
        2,
        false,
        true,
        true,
        600);
  }
}
