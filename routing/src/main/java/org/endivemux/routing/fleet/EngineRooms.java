package org.endivemux.routing.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.endivemux.model.gateway.ServiceName;

/**
 * Holds the {@link EngineRoom} of each service, which decides on its jobs under overload
 * protection. Not thread-safe.
 */
final class EngineRooms {
  private final OverloadProtection protection;
  private final Function<ServiceName, PrefillRate> prefillRates;
  private final Map<ServiceName, EngineRoom> rooms = new HashMap<>();

  EngineRooms(OverloadProtection protection, Function<ServiceName, PrefillRate> prefillRates) {
    this.protection = protection;
    this.prefillRates = prefillRates;
  }

  /** Returns whether overload protection is on. */
  boolean isOn() {
    return protection.enabled();
  }

  EngineRoom of(ServiceName service) {
    return rooms.computeIfAbsent(
        service, name -> new EngineRoom(protection.entries(), prefillRates.apply(name)));
  }

  /**
   * Replaces the strictest target of each urgency at each service, in nanoseconds. Used only while
   * overload protection is on.
   */
  void updateTargets(Map<ServiceName, NavigableMap<Integer, Long>> strictest) {
    rooms.values().forEach(room -> room.updateTargets(new TreeMap<>()));
    strictest.forEach((service, targets) -> of(service).updateTargets(targets));
  }

  /** Records that a sum of the load of all other entries has arrived. */
  void sumArrived(long now) {
    rooms.values().forEach(room -> room.sumArrived(now));
  }
}
