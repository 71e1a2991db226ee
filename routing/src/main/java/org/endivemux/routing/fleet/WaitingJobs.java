package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.ServiceName;

/**
 * Holds the jobs that wait for a server, in one queue for each service.
 *
 * <p>Invariant: a queue is ordered by urgency, then, where organisations share the service fairly,
 * by the organisations' turns, then by arrival and by id. Not thread-safe.
 */
final class WaitingJobs {
  private final Predicate<ServiceName> isShared;
  private final Map<ServiceName, NavigableSet<FleetJob>> queues = new HashMap<>();
  private final Map<ServiceName, OrganisationTurns> turns = new HashMap<>();
  private final Map<RequestId, Double> turnOf = new HashMap<>();

  /** The waiting jobs that only servers of one version may run. */
  private final Map<RequestId, FleetJob> ofOneVersion = new HashMap<>();

  /**
   * @param isShared whether organisations share a service fairly
   */
  WaitingJobs(Predicate<ServiceName> isShared) {
    this.isShared = isShared;
  }

  void add(FleetJob job) {
    if (isShared.test(job.service())) {
      turnOf.put(job.id(), turnsOf(job.service()).next(job));
    }
    if (job.version().isPresent()) {
      ofOneVersion.put(job.id(), job);
    }
    queues.computeIfAbsent(job.service(), service -> new TreeSet<>(order())).add(job);
  }

  private Comparator<FleetJob> order() {
    return Comparator.comparingInt(FleetJob::urgency)
        .thenComparingDouble(job -> turnOf.getOrDefault(job.id(), 0.0))
        .thenComparingLong(FleetJob::arrivedAt)
        .thenComparing(FleetJob::id);
  }

  private OrganisationTurns turnsOf(ServiceName service) {
    return turns.computeIfAbsent(service, none -> new OrganisationTurns());
  }

  /** Records that a job, which was taken out of its queue, was started. */
  void started(FleetJob job) {
    ofOneVersion.remove(job.id());
    Double turn = turnOf.remove(job.id());
    if (turn != null) {
      turnsOf(job.service()).served(turn);
    }
  }

  /** Removes a job; returns whether it was waiting. */
  boolean remove(FleetJob job) {
    NavigableSet<FleetJob> queue = queues.get(job.service());
    boolean removed = queue != null && queue.remove(job);
    ofOneVersion.remove(job.id());
    cancelTurn(job);
    return removed;
  }

  /** Removes and returns all jobs of the services that match, but those of one version. */
  List<FleetJob> removeAll(Predicate<ServiceName> matches) {
    List<FleetJob> removed =
        queues.entrySet().stream()
            .filter(queue -> !queue.getValue().isEmpty() && matches.test(queue.getKey()))
            .flatMap(queue -> queue.getValue().stream())
            .filter(job -> !ofOneVersion.containsKey(job.id()))
            .toList();
    removed.forEach(this::remove);
    return removed;
  }

  /** Returns whether jobs wait that only servers of one version may run. */
  boolean hasAnyOfOneVersion() {
    return !ofOneVersion.isEmpty();
  }

  /** Removes and returns the jobs that match, of those that only servers of one version may run. */
  List<FleetJob> removeOfOneVersion(Predicate<FleetJob> matches) {
    List<FleetJob> removed = ofOneVersion.values().stream().filter(matches).toList();
    removed.forEach(this::remove);
    return removed;
  }

  private void cancelTurn(FleetJob job) {
    if (turnOf.remove(job.id()) != null) {
      turnsOf(job.service()).cancelled(job);
    }
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
