package org.endivemux.integration;

import java.util.List;

/**
 * Holds one scenario of the experiment as its YAML file says it. Immutable.
 *
 * @param engines model engines, dealt to four failure domains; every second one is cheap
 * @param linkMillis one-way delay between VMs and to backend servers
 * @param seconds length of the load
 */
record Scenario(
    String name,
    int engines,
    int services,
    int linkMillis,
    int seconds,
    List<Load> loads,
    List<Event> events) {
  Scenario {
    loads = List.copyOf(loads);
    events = events == null ? List.of() : List.copyOf(events);
  }

  /**
   * Holds one stream of arrivals.
   *
   * @param perSecond mean rate of each organisation
   * @param organisations how many organisations send it
   * @param medianTokens median of the long-tailed output length; 0 for a sale
   * @param from second in which it begins
   * @param to second in which it ends; 0 for the end of the scenario
   */
  record Load(
      String requestClass,
      String organisation,
      int organisations,
      double perSecond,
      int medianTokens,
      int from,
      int to) {}

  /** Holds a fault: slow, crash, reclaim, killEntry or cutEntry, at a second. */
  record Event(int at, String what, int number) {}
}
