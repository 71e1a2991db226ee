package org.endivemux.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.ClassName;
import org.endivemux.model.Declaration;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.Declaration.Organisation;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.DeclarationIndex;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.routing.Observation.Result;
import org.endivemux.routing.SelectionPolicy.Candidate;

/**
 * Assigns waiting requests to backend servers, and decides which are refused.
 *
 * <p>Does no I/O and reads no clock: monotonic nanoseconds are passed in. Invariants: a request is
 * bound only when a backend server has free capacity; a protected request is never refused in
 * favour of a lower tier and has reserved capacity; every waiting class gets at least its floor
 * share of all assignments; an unprotected class whose oldest job has waited more than half of its
 * maximum wait goes before other unprotected classes; within a class, organisations are served by
 * share. Not thread-safe: one caller at a time.
 */
public final class Scheduler {
  /** Part of the capacity of a shared backend server that only protected classes may use. */
  private static final double RESERVED_SHARE = 0.2;

  private static final int MAX_WAITING_PER_ORGANISATION = 1000;
  private static final double NANOS_PER_MILLI = 1e6;

  private final SelectionPolicy policy;
  private final Map<QueueId, FairQueue> queues = new TreeMap<>();
  private final KnownServers servers;
  private final Map<RequestId, Running> running = new HashMap<>();
  private final FloorCredits floorCredits = new FloorCredits();
  private final LengthEstimator lengths = new LengthEstimator();
  private final WaitEstimator waits = new WaitEstimator();
  private DeclarationIndex declared = new DeclarationIndex(Declaration.empty());

  public Scheduler(FailureDomain domain, SelectionPolicy policy) {
    this.servers = new KnownServers(domain);
    this.policy = SelectionPolicies.withRepeatableOnlyOnSpot(policy);
  }

  /** Replaces the configuration and the set of leaving backend servers. */
  public void configure(DeclarationIndex newer, Predicate<BackendServerId> leaving) {
    declared = newer;
    servers.configure(newer.declaration(), leaving);
  }

  /** Queues a job, or refuses it at once. */
  public Optional<Refusal> offer(Job job, long now) {
    RequestClass requestClass = classOf(job.requestClass());
    if (servers.serversOf(job).findAny().isEmpty()) {
      return Optional.of(new Refusal(job, Reason.NO_CAPACITY, 0));
    }
    FairQueue queue = queues.computeIfAbsent(queueId(job), id -> new FairQueue());
    if (queue.sizeOf(job.organisation()) >= MAX_WAITING_PER_ORGANISATION) {
      return Optional.of(new Refusal(job, Reason.QUEUE_FULL, requestClass.maxWaitMillis()));
    }
    long expectedMillis = waits.expectedMillis(queueId(job).toString(), aheadOf(job, queue));
    if (!requestClass.protectedTier() && expectedMillis > requestClass.maxWaitMillis()) {
      return Optional.of(
          new Refusal(job, Reason.TOO_LATE, expectedMillis - requestClass.maxWaitMillis()));
    }
    queue.add(job);
    return Optional.empty();
  }

  /** Estimates how many jobs the fair queue serves before this job if it is queued now. */
  private int aheadOf(Job job, FairQueue queue) {
    int organisations = (int) queue.organisations().count();
    int own = queue.sizeOf(job.organisation());
    return Math.min(queue.size(), own * Math.max(1, organisations) + organisations);
  }

  /** Binds as many waiting jobs as the free capacity allows. */
  public List<Assignment> assign(long now) {
    List<Assignment> assignments = new ArrayList<>();
    Optional<Assignment> next = assignOne(now);
    while (next.isPresent()) {
      assignments.add(next.get());
      next = assignOne(now);
    }
    return assignments;
  }

  private Optional<Assignment> assignOne(long now) {
    servers.updateMedianSpeed();
    return queues.entrySet().stream()
        .filter(queue -> queue.getValue().size() > 0)
        .sorted(Comparator.comparing(queue -> rank(queue.getKey(), queue.getValue(), now)))
        .flatMap(queue -> bind(queue.getKey(), queue.getValue(), now).stream())
        .findFirst();
  }

  private Rank rank(QueueId id, FairQueue queue, long now) {
    RequestClass requestClass = classOf(id.requestClass());
    double waitedMillis = (now - queue.oldestArrival()) / NANOS_PER_MILLI;
    boolean aged = waitedMillis > requestClass.maxWaitMillis() / 2.0;
    boolean owedFloorShare = floorCredits.isOwed(id.requestClass());
    int group = owedFloorShare ? 0 : requestClass.protectedTier() ? 1 : 2;
    int tier = aged && !requestClass.protectedTier() ? -1 : requestClass.tier();
    return new Rank(group, tier, queue.oldestArrival());
  }

  private Optional<Assignment> bind(QueueId id, FairQueue queue, long now) {
    RequestClass requestClass = classOf(id.requestClass());
    Job job = queue.peek().orElseThrow();
    Stream<Candidate> candidates =
        servers
            .serversOf(job)
            .filter(
                state -> state.hasCapacity(requestClass.protectedTier(), reservedShare(state), now))
            .map(state -> servers.candidate(job, state, now));
    return policy
        .choose(job, candidates)
        .map(chosen -> start(job, queue, requestClass, chosen.server(), now));
  }

  /** Returns the part of a server that only protected classes may use. */
  private double reservedShare(ServerState state) {
    boolean sharedWithProtected =
        declared.declaration().routes().stream()
            .filter(route -> state.server.serves().contains(route.name()))
            .anyMatch(route -> classOf(route.requestClass()).protectedTier());
    return sharedWithProtected ? RESERVED_SHARE : 0;
  }

  private Assignment start(
      Job job, FairQueue queue, RequestClass requestClass, BackendServer server, long now) {
    double cost =
        job.promptTokens() / 8.0 + lengths.quantile(job.requestClass(), job.organisation(), 0.5);
    queue.take(cost, shareOf(job));
    floorCredits.assigned(job.requestClass(), waitingClasses());
    waits.started(queueId(job).toString(), queue.size() > 0, now);
    servers.started(server.id(), job, requestClass.protectedTier());
    running.put(job.id(), new Running(job, server.id(), requestClass.protectedTier()));
    return new Assignment(job, server);
  }

  private int shareOf(Job job) {
    return declared.organisation(job.organisation()).map(Organisation::share).orElse(1);
  }

  private Stream<RequestClass> waitingClasses() {
    return queues.entrySet().stream()
        .filter(queue -> queue.getValue().size() > 0)
        .map(queue -> queue.getKey().requestClass())
        .distinct()
        .map(this::classOf);
  }

  /** Records the end of a job's attempt and removes the job. */
  public void finished(RequestId id, Observation seen, long now) {
    Running ended = running.remove(id);
    if (ended == null) {
      return;
    }
    Job job = ended.job();
    long targetNanos = (long) (classOf(job.requestClass()).targetMillis() * NANOS_PER_MILLI);
    servers.ended(ended.server(), ended.isProtected(), seen, targetNanos, now);
    if (seen.result() == Result.OK && seen.answerTokens() > 0) {
      lengths.recordLength(job.requestClass(), job.organisation(), seen.answerTokens());
    }
  }

  /** Removes a waiting job whose caller cancelled it. */
  public void cancel(Job job) {
    Optional.ofNullable(queues.get(queueId(job)))
        .ifPresent(queue -> queue.remove(waiting -> waiting.id().equals(job.id())));
  }

  /** Removes and refuses the jobs that have waited longer than their class allows. */
  public List<Refusal> expire(long now) {
    return queues.entrySet().stream()
        .flatMap(queue -> expire(queue.getKey(), queue.getValue(), now))
        .toList();
  }

  private Stream<Refusal> expire(QueueId id, FairQueue queue, long now) {
    double maxWaitNanos = classOf(id.requestClass()).maxWaitMillis() * NANOS_PER_MILLI;
    return queue.oldestArrival() == Long.MAX_VALUE || now - queue.oldestArrival() <= maxWaitNanos
        ? Stream.empty()
        : queue.remove(job -> now - job.arrivedAt() > maxWaitNanos).stream()
            .map(
                job ->
                    new Refusal(job, Reason.TOO_LATE, classOf(id.requestClass()).targetMillis()));
  }

  /** Replaces what another entry reports to have in flight at each backend server. */
  public void peerDigest(String peer, List<InFlightAt> inFlight, long now) {
    servers.peerDigest(peer, inFlight, now);
  }

  /** Returns the requests that this entry has in flight at each backend server that has any. */
  public List<InFlightAt> digest() {
    return servers.digest();
  }

  /** Returns the number of waiting jobs. */
  public int waiting() {
    return queues.values().stream().mapToInt(FairQueue::size).sum();
  }

  /** Returns the number of running jobs. */
  public int inFlight() {
    return running.size();
  }

  private RequestClass classOf(ClassName name) {
    return declared.requestClass(name).orElseGet(() -> undeclared(name));
  }

  /** Returns a class for jobs whose class was removed while they waited. */
  private static RequestClass undeclared(ClassName name) {
    return new RequestClass(name, Integer.MAX_VALUE, false, 1000, 1000, 0);
  }

  private static QueueId queueId(Job job) {
    return new QueueId(job.requestClass(), job.route());
  }

  private record QueueId(ClassName requestClass, String route) implements Comparable<QueueId> {
    @Override
    public int compareTo(QueueId other) {
      return Comparator.comparing(QueueId::requestClass)
          .thenComparing(QueueId::route)
          .compare(this, other);
    }
  }

  private record Rank(int group, int tier, long oldestArrival) implements Comparable<Rank> {
    @Override
    public int compareTo(Rank other) {
      return Comparator.comparingInt(Rank::group)
          .thenComparingInt(Rank::tier)
          .thenComparingLong(Rank::oldestArrival)
          .compare(this, other);
    }
  }

  private record Running(Job job, BackendServerId server, boolean isProtected) {}
}
