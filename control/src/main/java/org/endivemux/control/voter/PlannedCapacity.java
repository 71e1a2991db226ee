package org.endivemux.control.voter;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.voter.PlatformPort.CapacityOrder;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.routing.fleet.CapacityPlanner;

/**
 * Converts the planner's targets into capacity orders; those of evacuated domains come last, since
 * the capacity that replaces them takes time to start. Confined to the state machine's thread.
 */
public final class PlannedCapacity implements GatewayLeaderTasks.CapacityTargets {
  private final CapacityPlanner planner = new CapacityPlanner();
  private final FleetLoad loads;

  public PlannedCapacity(FleetLoad loads) {
    this.loads = loads;
  }

  @Override
  public List<CapacityOrder> wanted(ControlState state, List<GatewayServer> servers, long now) {
    Set<FailureDomain> evacuated = state.view().evacuated();
    return servers.isEmpty()
        ? List.of()
        : state.gatewayConfig().services().stream()
            .flatMap(spec -> wanted(spec, servers, evacuated, now))
            .sorted(Comparator.comparing(order -> evacuated.contains(order.failureDomain())))
            .toList();
  }

  private Stream<CapacityOrder> wanted(
      ServiceSpec spec, List<GatewayServer> servers, Set<FailureDomain> evacuated, long now) {
    return planner.plan(spec, loads.requests(spec.name(), now), servers, evacuated).stream()
        .map(
            target ->
                new CapacityOrder(
                    spec.name(), target.failureDomain(), target.kind(), target.count()));
  }
}
