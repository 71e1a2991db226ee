package org.endivemux.model.gateway;

import java.util.List;

/**
 * Holds one version of what an operator declares for the gateway.
 *
 * <p>Immutable and thread-safe; an instance has passed {@link GatewayConfigCheck}, but for {@link
 * #none}, which stands for the time before the first version.
 */
public record GatewayConfig(
    long version,
    List<HostRoute> routes,
    List<ServiceSpec> services,
    ClientLimits limits,
    List<OrganisationKeys> organisations) {

  public GatewayConfig {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    organisations = List.copyOf(organisations);
  }

  /** Returns the value before any version was declared. */
  public static GatewayConfig none() {
    return new GatewayConfig(0, List.of(), List.of(), ClientLimits.defaults(), List.of());
  }

  /** Returns whether no version was declared yet. */
  public boolean isNone() {
    return version == 0;
  }
}
