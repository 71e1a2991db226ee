package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.Share;

/** Checks which route a path leads to. */
final class RouteTableTest {
  private static String routeOf(String path, String... prefixes) {
    List<HostRoute> routes = Stream.of(prefixes).map(RouteTableTest::route).toList();
    return new RouteTable(
            new GatewayConfig(1, routes, List.of(), ClientLimits.defaults(), List.of()))
        .route("Host.Example", path)
        .map(HostRoute::pathPrefix)
        .orElse("none");
  }

  private static HostRoute route(String prefix) {
    return new HostRoute(
        prefix,
        "host.example",
        prefix,
        RequestKind.STREAM,
        1000,
        100,
        1,
        List.of(new Share(new ServiceName("s"), 1)),
        1,
        true,
        false,
        false,
        0);
  }

  @Example
  void longestPrefixWins() {
    assertThat(routeOf("/a/b/c", "/", "/a/", "/a/b/")).isEqualTo("/a/b/");
    assertThat(routeOf("/a/b/", "/", "/a/", "/a/b/")).isEqualTo("/a/b/");
    assertThat(routeOf("/a/bc", "/", "/a/", "/a/b/")).isEqualTo("/a/");
    assertThat(routeOf("/x", "/", "/a/")).isEqualTo("/");
  }

  @Example
  void pathWithoutARouteHasNone() {
    assertThat(routeOf("/a", "/a/")).isEqualTo("none");
    assertThat(routeOf("", "/a/")).isEqualTo("none");
    assertThat(routeOf("*", "/")).isEqualTo("none");
    assertThat(routeOf("//a/b", "/a/")).isEqualTo("none");
  }
}
