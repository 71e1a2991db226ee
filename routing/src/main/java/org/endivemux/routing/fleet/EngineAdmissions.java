package org.endivemux.routing.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;

/**
 * Holds the {@link EngineAdmission} of each service, which decides on its jobs under overload
 * protection. Not thread-safe.
 */
final class EngineAdmissions {
  private final OverloadProtection protection;
  private final Function<ServiceName, PrefillRate> prefillRates;
  private final Map<ServiceName, EngineAdmission> admissions = new HashMap<>();
  private Set<ServiceName> engineServices = Set.of();

  EngineAdmissions(OverloadProtection protection, Function<ServiceName, PrefillRate> prefillRates) {
    this.protection = protection;
    this.prefillRates = prefillRates;
  }

  /** Returns whether overload protection is on. */
  boolean isOn() {
    return protection.enabled();
  }

  /**
   * Returns whether a service is protected; only model engines have a prefill that urgent requests
   * wait for.
   */
  boolean isOn(ServiceName service) {
    return protection.enabled() && engineServices.contains(service);
  }

  /** Replaces the declared services. */
  void updateServices(List<ServiceSpec> declared) {
    engineServices =
        declared.stream()
            .filter(spec -> spec.engine().isPresent())
            .map(ServiceSpec::name)
            .collect(Collectors.toSet());
  }

  EngineAdmission of(ServiceName service) {
    return admissions.computeIfAbsent(
        service, name -> new EngineAdmission(protection.entries(), prefillRates.apply(name)));
  }

  /**
   * Replaces the strictest target of each urgency at each service, in nanoseconds. Used only while
   * overload protection is on.
   */
  void updateTargets(Map<ServiceName, NavigableMap<Integer, Long>> strictest) {
    admissions.values().forEach(admission -> admission.updateTargets(new TreeMap<>()));
    strictest.forEach((service, targets) -> of(service).updateTargets(targets));
  }

  /** Records that a sum of the load of all other entries has arrived. */
  void sumArrived(long now) {
    admissions.values().forEach(admission -> admission.sumArrived(now));
  }
}
