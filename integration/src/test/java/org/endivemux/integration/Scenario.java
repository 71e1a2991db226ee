package org.endivemux.integration;

import java.util.List;

/**
 * One scenario of the experiment, as read from its YAML file. Immutable.
 *
 * @param engines number of model engines, spread over four failure domains; every second one is a
 *     spot server
 * @param linkMillis one-way delay in milliseconds between VMs and to backend servers
 * @param seconds duration of the load
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
   * A stream of arriving requests.
   *
   * @param perSecond mean request rate of each organisation
   * @param organisations number of organisations that send these requests
   * @param medianTokens median of the log-normal output length in tokens; 0 for a sale
   * @param from second of the scenario at which it begins
   * @param to second of the scenario at which it ends; 0 stands for the end of the scenario
   */
  record Load(
      String requestClass,
      String organisation,
      int organisations,
      double perSecond,
      int medianTokens,
      int from,
      int to) {}

  /** A fault (slow, crash, reclaim, killEntry or cutEntry) at a second of the scenario. */
  record Event(int at, String what, int number) {}
}
