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
 * Keeps waiting jobs by organisation and hands them out by start-time fair queueing.
 *
 * <p>Invariants: an organisation's jobs keep their order; over time each waiting organisation gets
 * cost in proportion to its share; one that comes back gets no credit for its absence. Confined to
 * the scheduler's thread.
 */
final class FairQueue {
  private final Map<OrganisationId, Lane> lanes = new HashMap<>();
  private final TreeSet<Lane> waiting =
      new TreeSet<>(
          Comparator.comparingDouble((Lane lane) -> lane.start).thenComparing(lane -> lane.id));
  private double virtualTime;
  private int size;

  void add(Job job) {
    Lane lane = lanes.computeIfAbsent(job.organisation(), Lane::new);
    if (lane.jobs.isEmpty()) {
      lane.start = Math.max(lane.start, virtualTime);
      waiting.add(lane);
    }
    lane.jobs.addLast(job);
    size++;
  }

  /** Returns the job whose turn it is. */
  Optional<Job> peek() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first().jobs.getFirst());
  }

  /** Takes the job whose turn it is and charges its organisation. */
  void take(double cost, int share) {
    Lane lane = waiting.pollFirst();
    lane.jobs.removeFirst();
    size--;
    virtualTime = lane.start;
    lane.start += cost / share;
    if (!lane.jobs.isEmpty()) {
      waiting.add(lane);
    }
    forgetIdle();
  }

  private void forgetIdle() {
    if (lanes.size() > 2 * waiting.size() + 64) {
      lanes.values().removeIf(lane -> lane.jobs.isEmpty() && lane.start <= virtualTime);
    }
  }

  /** Removes and returns the jobs that match. */
  List<Job> remove(Predicate<Job> matches) {
    List<Job> removed =
        waiting.stream().flatMap(lane -> lane.jobs.stream()).filter(matches).toList();
    removed.forEach(this::remove);
    return removed;
  }

  private void remove(Job job) {
    Lane lane = lanes.get(job.organisation());
    lane.jobs.remove(job);
    size--;
    if (lane.jobs.isEmpty()) {
      waiting.remove(lane);
    }
  }

  int size() {
    return size;
  }

  int sizeOf(OrganisationId organisation) {
    return Optional.ofNullable(lanes.get(organisation)).map(lane -> lane.jobs.size()).orElse(0);
  }

  /** Returns the earliest arrival among the heads of all organisations. */
  long oldestArrival() {
    return waiting.stream()
        .mapToLong(lane -> lane.jobs.getFirst().arrivedAt())
        .min()
        .orElse(Long.MAX_VALUE);
  }

  Stream<OrganisationId> organisations() {
    return waiting.stream().map(lane -> lane.id);
  }

  private static final class Lane {
    final OrganisationId id;
    final Deque<Job> jobs = new ArrayDeque<>();
    double start;

    Lane(OrganisationId id) {
      this.id = id;
    }
  }
}
