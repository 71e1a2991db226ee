package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.OrganisationKeys;
import org.endivemux.model.gateway.RequestKind;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.Share;

/** Tests in which order requests of routes and organisations with priorities are served. */
final class UrgenciesTest {
  private static final OptionalInt NONE = OptionalInt.empty();

  private static HostRoute route(int priority, boolean open) {
    return new HostRoute(
        "r" + priority,
        "h",
        "/" + priority + open + "/",
        RequestKind.STREAM,
        1000,
        100L * (priority + 1),
        priority,
        List.of(new Share(new ServiceName("llm"), 1)),
        1,
        open,
        true,
        false,
        0);
  }

  private static Urgencies urgencies(List<HostRoute> routes, OptionalInt... organisations) {
    return Urgencies.of(config(routes, organisations));
  }

  private static GatewayConfig config(List<HostRoute> routes, OptionalInt... organisations) {
    return new GatewayConfig(
        1,
        routes,
        List.of(),
        ClientLimits.defaults(),
        IntStream.range(0, organisations.length)
            .mapToObj(
                i -> new OrganisationKeys(new OrganisationId("o" + i), List.of(), organisations[i]))
            .toList());
  }

  private static List<HostRoute> routes(int... priorities) {
    return Arrays.stream(priorities).mapToObj(priority -> route(priority, false)).toList();
  }

  /** Guards against urgent routes that wait behind others because all organisations are equal. */
  @Example
  void routesDecideAmongOrganisationsOfEqualPriority() {
    List<HostRoute> routes = routes(2, 0, 1);
    Urgencies urgencies = urgencies(routes, OptionalInt.of(1), OptionalInt.of(1));
    assertThat(routes.stream().map(route -> urgencies.of(route, OptionalInt.of(1))))
        .containsExactly(2, 0, 1);
  }

  /** Guards against a route that overrides the priority of an organisation. */
  @Example
  void organisationsPriorityGoesBeforeTheRoutes() {
    List<HostRoute> routes = routes(0, 2);
    Urgencies urgencies = urgencies(routes, OptionalInt.of(3), OptionalInt.of(1));
    assertThat(urgencies.of(routes.get(1), OptionalInt.of(1)))
        .isLessThan(urgencies.of(routes.get(0), OptionalInt.of(3)));
  }

  /** Guards against requests that have no rank because no organisation has a priority. */
  @Example
  void requestWithoutAnOrganisationsPriorityHasThatOfItsRoute() {
    List<HostRoute> routes = List.of(route(0, true), route(2, false));
    Urgencies urgencies = urgencies(routes, OptionalInt.of(1), NONE);
    assertThat(urgencies.of(routes.get(0), NONE)).isZero();
    assertThat(urgencies.of(routes.get(0), OptionalInt.of(1))).isEqualTo(1);
    assertThat(urgencies.of(routes.get(1), OptionalInt.of(1))).isEqualTo(2);
    assertThat(urgencies.of(routes.get(1), NONE)).isEqualTo(3);
  }

  /** Guards against targets that overload protection looks up under other ranks. */
  @Example
  void strictestTargetsAreThoseOfTheRanks() {
    GatewayConfig config = config(routes(0, 2), OptionalInt.of(1));
    assertThat(StrictestTargets.of(config, Urgencies.of(config)).get(new ServiceName("llm")))
        .containsExactlyEntriesOf(new TreeMap<>(Map.of(0, 100_000_000L, 1, 300_000_000L)));
  }
}
