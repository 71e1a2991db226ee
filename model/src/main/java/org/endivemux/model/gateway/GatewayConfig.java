package org.endivemux.model.gateway;

import java.util.List;

/**
 * Holds one version of the gateway's configuration.
 *
 * <p>Immutable and thread-safe. Every instance has passed {@link GatewayConfigCheck}, except {@link
 * #none}, which is used until the first version is declared.
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

  /** Returns the empty configuration that is used until a version is declared. */
  public static GatewayConfig none() {
    return new GatewayConfig(0, List.of(), List.of(), ClientLimits.defaults(), List.of());
  }

  /** Returns whether no version has been declared yet. */
  public boolean isNone() {
    return version == 0;
  }
}
