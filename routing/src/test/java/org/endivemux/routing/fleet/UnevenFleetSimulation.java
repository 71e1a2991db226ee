package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerReport;

/**
 * Simulates, in virtual time, many entries and engines of three speeds that are slowed at times.
 *
 * <p>Demand moves between three failure domains. Confined to one thread.
 */
final class UnevenFleetSimulation {
  private static final int ENTRIES = 86;
  private static final int ENGINES = 42;
  private static final int SLOTS = 64;
  private static final int DOMAINS = 3;
  private static final int STEP_MILLIS = 10;
  private static final int EXCHANGE_ROUNDS = 40;
  private static final double[] SPEEDS = {0.7, 1, 1.7, 1, 0.7, 1, 1.7};
  private static final double TOKENS_PER_MILLI = 92.1;
  private static final double SLOWDOWN = 2.5;
  private static final int SLOWDOWN_MILLIS = 600;
  private static final double SLOWED_SHARE = 0.15;
  private static final int WAVE_MILLIS = 5000;
  private static final double WAVE_SHARE = 0.6;
  private static final double EVENT_MILLIS = 3.88;

  /** Describes a route; a job's prompt is one shared part of a session and its own part. */
  enum Route {
    DOSSIER(4000, 8000, 2526, 800, 60, 300, true),
    CAPTION(400, 426, 311, 200, 800, 80, false),
    REWRITE(1200, 1168, 513, 0, 150, 40, false);

    private final int sharedTokens;
    private final int ownTokens;
    private final int targetMillis;
    private final int pauseMillis;
    private final int perSecond;
    private final int events;
    private final boolean longPrompts;

    Route(
        int sharedTokens,
        int ownTokens,
        int targetMillis,
        int pauseMillis,
        int perSecond,
        int events,
        boolean longPrompts) {
      this.sharedTokens = sharedTokens;
      this.ownTokens = ownTokens;
      this.targetMillis = targetMillis;
      this.pauseMillis = pauseMillis;
      this.perSecond = perSecond;
      this.events = events;
      this.longPrompts = longPrompts;
    }
  }

  /** Counts requests; {@code worstDomain} and {@code bestDomain} are shares of all on time. */
  record Outcome(
      double captions,
      double dossiers,
      double rewrites,
      double worstDomain,
      double bestDomain,
      double crossDomain,
      double spread) {}

  private final Random random;
  private final boolean reportsSlowdown;
  private final double load;
  private final List<GatewayServer> listed;
  private final List<FleetScheduler> entries = new ArrayList<>();
  private final Map<BackendServerId, Engine> engines = new HashMap<>();
  private final Map<RequestId, Request> waiting = new HashMap<>();
  private final Map<String, int[]> counts = new HashMap<>();
  private long now;
  private int created;
  private int crossDomain;
  private int bound;
  private long countedSince;
  private boolean digestsLost;

  UnevenFleetSimulation(boolean reportsSlowdown, double load, long seed) {
    this.random = new Random(seed);
    this.reportsSlowdown = reportsSlowdown;
    this.load = load;
    this.listed =
        IntStream.range(0, ENGINES)
            .mapToObj(
                i ->
                    new GatewayServer(
                        new BackendServerId("s" + i),
                        Fleet.LLM,
                        "10.0.0." + i,
                        domain(i),
                        SLOTS,
                        false,
                        ServerKind.STEADY))
            .toList();
    IntStream.range(0, ENGINES)
        .forEach(i -> engines.put(listed.get(i).id(), new Engine(SPEEDS[i % SPEEDS.length])));
    restartEntries();
  }

  private static FailureDomain domain(int number) {
    return Fleet.DOMAINS.get(number % DOMAINS);
  }

  /** Replaces all entries by new ones that know nothing. */
  void restartEntries() {
    entries.clear();
    waiting.clear();
    IntStream.range(0, ENTRIES)
        .forEach(
            i -> {
              FleetScheduler entry = new FleetScheduler(domain(i), Fleet.notices());
              entry.updateServices(List.of(Fleet.spec()));
              entry.updateServers(listed);
              entries.add(entry);
            });
  }

  void loseDigests(boolean lost) {
    digestsLost = lost;
  }

  /** Plays so many seconds and returns the outcome of them alone. */
  Outcome play(int seconds) {
    counts.clear();
    countedSince = now;
    crossDomain = 0;
    bound = 0;
    IntStream.range(0, seconds * 1000 / STEP_MILLIS).forEach(this::step);
    List<Double> domains =
        IntStream.range(0, DOMAINS).mapToObj(i -> share("domain" + i)).sorted().toList();
    return new Outcome(
        share(Route.CAPTION.name()),
        share(Route.DOSSIER.name()),
        share(Route.REWRITE.name()),
        domains.get(0),
        domains.get(DOMAINS - 1),
        (double) crossDomain / bound,
        entries.get(0).speedSpread());
  }

  private double share(String name) {
    int[] count = counts.getOrDefault(name, new int[2]);
    return Math.round(1000.0 * count[1] / Math.max(1, count[0])) / 1000.0;
  }

  private void step(int round) {
    now += STEP_MILLIS * Fleet.MILLI;
    for (Route route : Route.values()) {
      double expected = route.perSecond * load * STEP_MILLIS / 1000;
      int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
      IntStream.range(0, arrivals).forEach(i -> arrive(route));
    }
    if (round % EXCHANGE_ROUNDS == 0 && !digestsLost) {
      exchange();
    }
    entries.forEach(this::bind);
    engines.values().forEach(Engine::work);
  }

  private void arrive(Route route) {
    int peak = (int) (now / Fleet.MILLI / WAVE_MILLIS % DOMAINS);
    int domain = random.nextDouble() < WAVE_SHARE ? peak : random.nextInt(DOMAINS);
    int entry = random.nextInt(ENTRIES / DOMAINS) * DOMAINS + domain;
    RequestId id = new RequestId("r" + created++);
    PromptShape prompt =
        new PromptShape(
            "m",
            route.sharedTokens + route.ownTokens,
            route.events,
            List.of(
                new PromptPart(route + "-" + random.nextInt(100), route.sharedTokens),
                new PromptPart("own" + created, route.ownTokens)));
    waiting.put(id, new Request(id, entries.get(entry), domain, route, prompt, now));
    List.of(route.name(), "domain" + domain)
        .forEach(name -> counts.computeIfAbsent(name, none -> new int[2])[0]++);
    long deadline = now + route.targetMillis * Fleet.MILLI;
    entries
        .get(entry)
        .offer(
            new FleetJob(
                id,
                Fleet.LLM,
                1,
                now,
                deadline,
                prompt,
                route.longPrompts,
                route.pauseMillis,
                Optional.empty(),
                Set.of(),
                Optional.empty()));
  }

  private void bind(FleetScheduler entry) {
    for (Binding binding : entry.bind(now)) {
      Request request = waiting.remove(binding.job().id());
      bound++;
      crossDomain += binding.server().failureDomain().equals(domain(request.domain)) ? 0 : 1;
      engines.get(binding.server().id()).take(request, binding.server());
    }
  }

  private void exchange() {
    Map<Integer, InFlightAt> loads = new HashMap<>();
    entries.forEach(
        entry -> entry.digest().forEach(at -> loads.merge(at.server(), at, this::added)));
    Map<Integer, SpeedAt> speeds = new HashMap<>();
    entries.forEach(
        entry ->
            IntStream.range(0, (ENGINES + SpeedAt.MAX_PER_MESSAGE - 1) / SpeedAt.MAX_PER_MESSAGE)
                .boxed()
                .flatMap(i -> entry.nextSpeeds().stream())
                .distinct()
                .forEach(at -> speeds.merge(at.server(), at, SpeedAt::plus)));
    entries.forEach(entry -> updateLoad(entry, loads));
    entries.forEach(entry -> entry.updateSpeeds(List.copyOf(speeds.values()), now));
  }

  private void updateLoad(FleetScheduler entry, Map<Integer, InFlightAt> loads) {
    Map<Integer, InFlightAt> others = new HashMap<>(loads);
    entry
        .digest()
        .forEach(
            own ->
                others.merge(
                    own.server(),
                    new InFlightAt(own.server(), -own.requests(), -own.pendingPrefillTokens()),
                    this::added));
    entry.updateAggregateLoad(List.copyOf(others.values()), now);
  }

  private InFlightAt added(InFlightAt one, InFlightAt other) {
    return new InFlightAt(
        one.server(),
        one.requests() + other.requests(),
        one.pendingPrefillTokens() + other.pendingPrefillTokens());
  }

  private static final class Request {
    private final RequestId id;
    private final FleetScheduler entry;
    private final int domain;
    private final Route route;
    private final PromptShape prompt;
    private final long arrivedAt;
    private double unread;
    private double eventsLeft;

    Request(
        RequestId id,
        FleetScheduler entry,
        int domain,
        Route route,
        PromptShape prompt,
        long arrivedAt) {
      this.id = id;
      this.entry = entry;
      this.domain = domain;
      this.route = route;
      this.prompt = prompt;
      this.arrivedAt = arrivedAt;
      this.eventsLeft = route.events;
    }
  }

  private final class Engine {
    private final double speed;
    private final List<Request> held = new ArrayList<>();
    private final PrefixCacheEstimate cache = new PrefixCacheEstimate(299_000);
    private GatewayServer server;
    private long slowUntil;

    Engine(double speed) {
      this.speed = speed;
    }

    void take(Request request, GatewayServer at) {
      server = at;
      request.unread = request.prompt.tokens() - cache.cachedTokens(request.prompt);
      cache.recordSent(request.prompt);
      held.add(request);
    }

    private boolean isSlow() {
      return now < slowUntil;
    }

    void work() {
      double startsPerStep = STEP_MILLIS * SLOWED_SHARE / (1 - SLOWED_SHARE) / SLOWDOWN_MILLIS;
      if (!isSlow() && random.nextDouble() < startsPerStep) {
        slowUntil = now + SLOWDOWN_MILLIS * Fleet.MILLI;
      }
      double factor = speed / (isSlow() ? SLOWDOWN : 1);
      double budget = STEP_MILLIS * TOKENS_PER_MILLI * factor;
      boolean isReading = held.stream().limit(SLOTS).anyMatch(it -> it.unread > 0);
      double events = STEP_MILLIS * factor / EVENT_MILLIS * (isReading ? 0.5 : 1);
      for (Request request : held.stream().limit(SLOTS).toList()) {
        if (request.unread > 0) {
          double read = Math.min(budget, request.unread);
          budget -= read;
          request.unread -= read;
          if (request.unread <= 0) {
            firstEvent(request);
          }
        } else {
          request.eventsLeft -= events;
        }
      }
      held.stream().filter(it -> it.eventsLeft <= 0).toList().forEach(this::finish);
    }

    private void firstEvent(Request request) {
      OptionalInt percent =
          reportsSlowdown
              ? OptionalInt.of((int) (100 * (isSlow() ? SLOWDOWN : 1)))
              : OptionalInt.empty();
      var unused =
          request.entry.reported(
              server.id(), new ServerReport(held.size(), 0, SLOTS, percent), now);
      request.entry.firstEventReceived(request.id, now);
      boolean isCounted = request.arrivedAt > countedSince;
      if (isCounted && now - request.arrivedAt <= request.route.targetMillis * Fleet.MILLI) {
        List.of(request.route.name(), "domain" + request.domain)
            .forEach(name -> counts.computeIfAbsent(name, none -> new int[2])[1]++);
      }
    }

    private void finish(Request request) {
      held.remove(request);
      request.entry.streamed(request.id, request.route.events, now);
      request.entry.ended(request.id, AttemptResult.OK, now);
    }
  }
}
