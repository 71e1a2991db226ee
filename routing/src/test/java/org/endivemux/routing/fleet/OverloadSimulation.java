package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Simulates, in virtual time, entries that send three kinds of requests to the engines of the
 * deployment with too little capacity while spot engines of two domains are reclaimed.
 *
 * <p>Deterministic for a seed. Confined to one thread.
 */
final class OverloadSimulation {
  static final int STEP_MILLIS = 10;
  private static final int ENGINES = 63;
  private static final int SECONDS = 18;
  private static final int BURST_FROM = 4;
  private static final int BURST_UNTIL = 14;
  private static final int RECLAIM_AT_MILLIS = 6000;
  private static final int NOTICE_MILLIS = 2500;
  private static final int LIST_LAG_MILLIS = 700;
  private static final int SESSIONS = 200;
  private static final int LARGE_PROMPT_TOKENS = 49_218;

  /** Relay refuses a request that has waited at its entry for this multiple of its target. */
  private static final double MAX_WAIT_TARGETS = 0.75;

  /** Kinds of requests, the most urgent one first. */
  enum Kind {
    PITCH(0, 198, 628, 291, 508, 12_000, 105),
    CHECK(1, 568, 1800, 23, 1210, 3_000, 92),
    BRIEF(2, 5382, 6610, 384, 2019, 15_000, 64.7);

    final int urgency;
    final int shared;
    final int own;
    final int output;
    final int targetMillis;
    final int limitMillis;
    final double perSecond;

    Kind(
        int urgency,
        int shared,
        int own,
        int output,
        int targetMillis,
        int limitMillis,
        double perSecond) {
      this.urgency = urgency;
      this.shared = shared;
      this.own = own;
      this.output = output;
      this.targetMillis = targetMillis;
      this.limitMillis = limitMillis;
      this.perSecond = perSecond;
    }
  }

  private final Random random;
  private final int sumEveryRounds;
  private final double burst;
  private final Map<Kind, OverloadCounts> counts = new EnumMap<>(Kind.class);
  private final List<FleetScheduler> entries = new ArrayList<>();
  private final Map<BackendServerId, OverloadEngine> engines = new HashMap<>();
  private final Map<RequestId, Request> waiting = new HashMap<>();
  private final List<GatewayServer> listed;
  private int created;
  private int memoryCrashes;
  private long now;

  /** One request of a caller. */
  final class Request {
    final RequestId id;
    final Kind kind;
    final int entry;
    final FleetJob job;
    final long arrivedAt;
    int prefillTokens;
    double prefillLeft;
    double outputLeft;
    boolean answered;

    Request(RequestId id, Kind kind, int entry, FleetJob job) {
      this.id = id;
      this.kind = kind;
      this.entry = entry;
      this.job = job;
      this.arrivedAt = job.arrivedAt();
    }

    boolean isLarge() {
      return job.prompt().tokens() > LARGE_PROMPT_TOKENS;
    }

    long heldTokens() {
      return job.prompt().tokens() + (long) (kind.output - outputLeft);
    }

    boolean isExpired() {
      return now - arrivedAt > kind.limitMillis * Fleet.MILLI;
    }
  }

  OverloadSimulation(
      int entryCount,
      int sumEveryRounds,
      double burst,
      BiFunction<FailureDomain, Integer, FleetScheduler> scheduler,
      long seed) {
    this.random = new Random(seed);
    this.sumEveryRounds = sumEveryRounds;
    this.burst = burst;
    for (Kind kind : Kind.values()) {
      counts.put(kind, new OverloadCounts());
    }
    this.listed = IntStream.range(0, ENGINES).mapToObj(OverloadSimulation::engine).toList();
    listed.forEach(server -> engines.put(server.id(), new OverloadEngine()));
    for (int i = 0; i < entryCount; i++) {
      FleetScheduler entry = scheduler.apply(Fleet.DOMAINS.get(i % 4), entryCount);
      entry.updateServers(listed);
      entries.add(entry);
    }
  }

  private static GatewayServer engine(int i) {
    ServerKind kind = i % 8 < 4 ? ServerKind.CHEAP : ServerKind.STEADY;
    return new GatewayServer(
        new BackendServerId("s" + i),
        Fleet.LLM,
        "10.0.0." + i,
        Fleet.DOMAINS.get(i % 4),
        OverloadEngine.SLOTS,
        false,
        kind);
  }

  OverloadSimulation play() {
    IntStream.range(0, SECONDS * 1000 / STEP_MILLIS).forEach(this::step);
    return this;
  }

  OverloadCounts counts(Kind kind) {
    return counts.get(kind);
  }

  int memoryCrashes() {
    return memoryCrashes;
  }

  @Override
  public String toString() {
    return counts + " memoryCrashes=" + memoryCrashes;
  }

  private void step(int round) {
    int millis = round * STEP_MILLIS;
    now = millis * Fleet.MILLI;
    boolean inBurst = millis >= BURST_FROM * 1000 && millis < BURST_UNTIL * 1000;
    arrive(Kind.PITCH, 1);
    arrive(Kind.CHECK, 1);
    arrive(Kind.BRIEF, inBurst ? burst : 1);
    reclaim(millis);
    if (round % sumEveryRounds == 0) {
      exchangeSums();
    }
    refuseLate();
    entries.forEach(this::bind);
    engines.values().forEach(engine -> engine.work(this));
  }

  private void reclaim(int millis) {
    if (millis == RECLAIM_AT_MILLIS + LIST_LAG_MILLIS) {
      List<GatewayServer> marked =
          listed.stream().map(s -> isReclaimed(s) ? s.asLeaving() : s).toList();
      entries.forEach(entry -> entry.updateServers(marked));
    }
    if (millis == RECLAIM_AT_MILLIS + NOTICE_MILLIS) {
      List<GatewayServer> left = listed.stream().filter(s -> !isReclaimed(s)).toList();
      listed.stream()
          .filter(OverloadSimulation::isReclaimed)
          .forEach(s -> engines.remove(s.id()).requests().forEach(this::retry));
      entries.forEach(entry -> entry.updateServers(left));
    }
  }

  private static boolean isReclaimed(GatewayServer server) {
    return server.kind() == ServerKind.CHEAP && Fleet.DOMAINS.indexOf(server.failureDomain()) < 2;
  }

  /** Offers a request again whose engine has gone before its first event. */
  private void retry(Request request) {
    entries.get(request.entry).ended(request.id, AttemptResult.FAILED, now);
    if (!request.answered) {
      waiting.put(request.id, request);
      entries.get(request.entry).offer(request.job);
    }
  }

  private void arrive(Kind kind, double factor) {
    double expected = kind.perSecond * factor * STEP_MILLIS / 1000;
    int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    IntStream.range(0, arrivals).forEach(i -> arrive(kind));
  }

  private void arrive(Kind kind) {
    RequestId id = new RequestId("r" + created++);
    boolean large = kind == Kind.BRIEF && random.nextInt(10) == 0;
    int own = large ? LARGE_PROMPT_TOKENS : kind.own;
    PromptShape prompt =
        new PromptShape(
            "m",
            kind.shared + own,
            kind.output,
            List.of(
                new PromptPart(kind + "-" + random.nextInt(SESSIONS), kind.shared),
                new PromptPart(id.value(), own)));
    FleetJob job =
        new FleetJob(
            id,
            Fleet.LLM,
            kind.urgency,
            now,
            now + (long) (kind.targetMillis * MAX_WAIT_TARGETS * Fleet.MILLI),
            prompt,
            kind == Kind.BRIEF,
            Set.of());
    Request request = new Request(id, kind, random.nextInt(entries.size()), job);
    counts.get(kind).offered++;
    counts.get(kind).large += large ? 1 : 0;
    waiting.put(id, request);
    entries.get(request.entry).offer(job);
  }

  private void refuseLate() {
    waiting.values().stream()
        .filter(request -> now > request.job.waitDeadline())
        .toList()
        .forEach(
            request -> {
              waiting.remove(request.id);
              entries.get(request.entry).cancelWaiting(request.job);
              counts.get(request.kind).refusedAtEntry++;
            });
  }

  private void bind(FleetScheduler entry) {
    for (Binding binding : entry.bind(now)) {
      OverloadEngine engine = engines.get(binding.server().id());
      engine.take(waiting.remove(binding.job().id()));
      memoryCrashes += engine.exceedsMemory() ? 1 : 0;
    }
  }

  private void exchangeSums() {
    List<List<InFlightAt>> digests = entries.stream().map(FleetScheduler::digest).toList();
    Map<Integer, InFlightAt> total = new HashMap<>();
    digests.forEach(d -> d.forEach(at -> total.merge(at.server(), at, (a, b) -> sum(a, b, 1))));
    for (int i = 0; i < entries.size(); i++) {
      Map<Integer, InFlightAt> others = new HashMap<>(total);
      digests.get(i).forEach(at -> others.merge(at.server(), at, (a, b) -> sum(a, b, -1)));
      entries.get(i).updateAggregateLoad(List.copyOf(others.values()), now);
    }
  }

  private static InFlightAt sum(InFlightAt one, InFlightAt other, int sign) {
    return new InFlightAt(
        one.server(),
        one.requests() + sign * other.requests(),
        one.pendingPrefillTokens() + sign * other.pendingPrefillTokens(),
        one.heldTokens() + sign * other.heldTokens());
  }

  void firstEvent(Request request) {
    entries.get(request.entry).firstEventReceived(request.id, now);
    request.answered = true;
    OverloadCounts of = counts.get(request.kind);
    boolean onTime = now - request.arrivedAt <= request.kind.targetMillis * Fleet.MILLI;
    of.onTime += onTime ? 1 : 0;
    of.late += onTime ? 0 : 1;
    of.largeServed += request.isLarge() ? 1 : 0;
  }

  void completed(Request request) {
    entries.get(request.entry).ended(request.id, AttemptResult.OK, now);
  }

  void expired(Request request) {
    entries.get(request.entry).ended(request.id, AttemptResult.CANCELLED, now);
    counts.get(request.kind).expiredAtEngine++;
  }

  void preempted(Request request) {
    counts.get(request.kind).preempted++;
  }
}
