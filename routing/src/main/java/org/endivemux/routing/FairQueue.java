package org.endivemux.routing;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.endivemux.model.OrganisationId;

/**
 * Queues waiting jobs by organisation and serves them by start-time fair queueing.
 *
 * <p>Invariants: the jobs of an organisation keep their order; over time each waiting organisation
 * is served cost in proportion to its share; one that was idle gets no credit for that time.
 * Confined to the scheduler's thread.
 */
final class FairQueue {
  private final Map<OrganisationId, Flow> flows = new HashMap<>();
  private final TreeSet<Flow> waiting =
      new TreeSet<>(
          Comparator.comparingDouble((Flow flow) -> flow.start).thenComparing(flow -> flow.id));
  private double virtualTime;
  private int size;

  void add(Job job) {
    Flow flow = flows.computeIfAbsent(job.organisation(), Flow::new);
    if (flow.jobs.isEmpty()) {
      flow.start = Math.max(flow.start, virtualTime);
      waiting.add(flow);
    }
    flow.jobs.addLast(job);
    size++;
  }

  /** Returns the next job. */
  Optional<Job> peek() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first().jobs.getFirst());
  }

  /** Removes the next job and charges its cost to its organisation. */
  void take(double cost, int share) {
    Flow flow = waiting.pollFirst();
    flow.jobs.removeFirst();
    size--;
    virtualTime = flow.start;
    flow.start += cost / share;
    if (!flow.jobs.isEmpty()) {
      waiting.add(flow);
    }
    evictIdle();
  }

  private void evictIdle() {
    if (flows.size() > 2 * waiting.size() + 64) {
      flows.values().removeIf(flow -> flow.jobs.isEmpty() && flow.start <= virtualTime);
    }
  }

  /** Removes and returns the jobs that match. */
  List<Job> remove(Predicate<Job> matches) {
    List<Job> removed =
        waiting.stream().flatMap(flow -> flow.jobs.stream()).filter(matches).toList();
    removed.forEach(this::remove);
    return removed;
  }

  private void remove(Job job) {
    Flow flow = flows.get(job.organisation());
    flow.jobs.remove(job);
    size--;
    if (flow.jobs.isEmpty()) {
      waiting.remove(flow);
    }
  }

  int size() {
    return size;
  }

  int sizeOf(OrganisationId organisation) {
    return Optional.ofNullable(flows.get(organisation)).map(flow -> flow.jobs.size()).orElse(0);
  }

  /** Returns the earliest arrival among the first jobs of all organisations. */
  long oldestArrival() {
    return waiting.stream()
        .mapToLong(flow -> flow.jobs.getFirst().arrivedAt())
        .min()
        .orElse(Long.MAX_VALUE);
  }

  Stream<OrganisationId> organisations() {
    return waiting.stream().map(flow -> flow.id);
  }

  private static final class Flow {
    final OrganisationId id;
    final Deque<Job> jobs = new ArrayDeque<>();
    double start;

    Flow(OrganisationId id) {
      this.id = id;
    }
  }
}
