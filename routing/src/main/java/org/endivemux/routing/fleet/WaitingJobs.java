package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.endivemux.model.gateway.ServiceName;

/**
 * Holds the jobs that wait for a server, in one queue for each service.
 *
 * <p>Invariant: a queue is ordered by urgency, then by arrival, then by id. Not thread-safe.
 */
final class WaitingJobs {
  private static final Comparator<FleetJob> QUEUE_ORDER =
      Comparator.comparingInt(FleetJob::urgency)
          .thenComparingLong(FleetJob::arrivedAt)
          .thenComparing(FleetJob::id);

  private final Map<ServiceName, NavigableSet<FleetJob>> queues = new HashMap<>();

  void add(FleetJob job) {
    queues.computeIfAbsent(job.service(), service -> new TreeSet<>(QUEUE_ORDER)).add(job);
  }

  /** Removes a job; returns whether it was waiting. */
  boolean remove(FleetJob job) {
    NavigableSet<FleetJob> queue = queues.get(job.service());
    return queue != null && queue.remove(job);
  }

  /** Removes and returns all jobs of the services that match. */
  List<FleetJob> removeAll(Predicate<ServiceName> matches) {
    List<FleetJob> removed = new ArrayList<>();
    queues.forEach(
        (service, queue) -> {
          if (!queue.isEmpty() && matches.test(service)) {
            removed.addAll(queue);
            queue.clear();
          }
        });
    return removed;
  }

  /** Returns the queues, of which some may be empty; jobs can be removed from them. */
  Collection<NavigableSet<FleetJob>> queues() {
    return queues.values();
  }

  boolean isEmpty() {
    return queues.values().stream().allMatch(NavigableSet::isEmpty);
  }

  boolean isEmpty(ServiceName service) {
    NavigableSet<FleetJob> queue = queues.get(service);
    return queue == null || queue.isEmpty();
  }

  int size() {
    return queues.values().stream().mapToInt(NavigableSet::size).sum();
  }

  /** Returns a new map with the waiting jobs of each service that has had any, 0 included. */
  Map<ServiceName, Integer> sizes() {
    Map<ServiceName, Integer> sizes = new TreeMap<>();
    queues.forEach((service, queue) -> sizes.put(service, queue.size()));
    return sizes;
  }
}
