package org.endivemux.routing.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListing;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.WarmUp;

/**
 * Simulates, in virtual time, many entries and engines that are cold after a start, with a list
 * that is 0.8 s late and is read every 0.7 s, and sums of load and reports of refused connections
 * that are 200 ms old.
 *
 * <p>Deterministic for a seed. Not thread-safe.
 */
final class WarmUpSimulation {
  private static final long STEP = 5 * Fleet.MILLI;
  private static final long READ_INTERVAL = 700 * Fleet.MILLI;
  private static final long LIST_LAG = 800 * Fleet.MILLI;
  private static final long SUM_INTERVAL = 200 * Fleet.MILLI;
  private static final long SECOND = 1000 * Fleet.MILLI;
  private static final long COLD = 3 * SECOND;
  private static final long RUN = 300 * Fleet.MILLI;
  private static final long COLD_RUN = 900 * Fleet.MILLI;
  private static final long EPOCH_MILLIS = 1_000_000;
  private static final int SLOTS = 16;

  private final Random random;
  private final ServiceSpec spec;
  private final Function<Integer, List<EntryInfo>> views;
  private final List<FleetScheduler> entries = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));
  private final Deque<Reading> snapshots = new ArrayDeque<>();
  private List<GatewayServer> known = List.of();
  private List<List<InFlightAt>> digests = List.of();
  private Set<BackendServerId> refusing = Set.of();
  private boolean isSlowedByLoad;
  private int perSecond;
  private int jobs;
  private long now;

  private record Event(long at, Runnable action) {}

  private record Reading(long at, ServerListing listing) {}

  /**
   * @param warmUp the service's declaration of cold engines, if it has one
   * @param views returns the list of live entries that an entry knows
   */
  WarmUpSimulation(
      long seed,
      int entryCount,
      Optional<WarmUp> warmUp,
      Function<Integer, List<EntryInfo>> views) {
    this.random = new Random(seed);
    this.spec = new ServiceSpec(Fleet.LLM, 100, Optional.empty(), Optional.empty(), warmUp);
    this.views = views;
    IntStream.range(0, 12).forEach(i -> engines.add(new Engine(i)));
    IntStream.range(0, entryCount).forEach(i -> entries.add(newEntry(i)));
  }

  private FleetScheduler newEntry(int number) {
    List<EntryInfo> view = views.apply(number);
    FleetScheduler entry =
        new FleetScheduler(
            Fleet.DOMAINS.get(number % 4),
            Fleet.notices(),
            new WarmUpLimit(Fleet.vm(number), () -> view, new WarmUpLimit.Bounds(1.5, 5)),
            OverloadProtection.off());
    entry.updateServices(List.of(spec));
    entry.updateServers(known, now, millis());
    return entry;
  }

  private long millis() {
    return EPOCH_MILLIS + now / Fleet.MILLI;
  }

  WarmUpSimulation at(long millis, Runnable action) {
    events.add(new Event(millis * Fleet.MILLI, action));
    return this;
  }

  WarmUpSimulation traffic(int requestsPerSecond) {
    perSecond = requestsPerSecond;
    return this;
  }

  /** Makes requests beyond an engine's slots take turns, so that engines can be overloaded. */
  WarmUpSimulation enginesAreSlowedByLoad() {
    isSlowedByLoad = true;
    return this;
  }

  /** Lets the engines of the first domain fail, and come back cold. */
  WarmUpSimulation domainIsAway(long fromMillis, long untilMillis, boolean listed) {
    at(fromMillis, () -> firstDomain().forEach(engine -> engine.stop(listed)));
    return at(untilMillis, () -> firstDomain().forEach(Engine::start));
  }

  WarmUpSimulation domainTurnsCold(long atMillis) {
    return at(atMillis, () -> firstDomain().forEach(Engine::start));
  }

  /** Restarts the entries with some numbers, which get the current list at once. */
  WarmUpSimulation restart(long atMillis, IntPredicate which) {
    return at(
        atMillis,
        () ->
            IntStream.range(0, entries.size())
                .filter(which)
                .forEach(i -> entries.set(i, newEntry(i))));
  }

  private List<Engine> firstDomain() {
    return engines.stream().filter(engine -> engine.number % 4 == 0).toList();
  }

  WarmUpSimulation run(long millis) {
    while (now < millis * Fleet.MILLI) {
      now += STEP;
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.remove().action().run();
      }
      readList();
      exchangeSums();
      arrive();
      entries.forEach(entry -> entry.bind(now).forEach(binding -> send(entry, binding)));
    }
    return this;
  }

  private void readList() {
    if (now % (100 * Fleet.MILLI) == 0 || now == STEP) {
      snapshots.add(new Reading(now, snapshot()));
    }
    if (now % READ_INTERVAL == 0 || now == STEP) {
      while (snapshots.size() > 1 && snapshots.peek().at() < now - LIST_LAG) {
        snapshots.remove();
      }
      List<GatewayServer> newer = snapshots.peek().listing().completedFrom(known, millis());
      if (!newer.equals(known)) {
        known = newer;
        entries.forEach(entry -> entry.updateServers(known, now, millis()));
      }
    }
  }

  private ServerListing snapshot() {
    Map<BackendServerId, Long> left = new HashMap<>();
    engines.stream()
        .filter(engine -> engine.coldUntil > now)
        .forEach(engine -> left.put(engine.id, (engine.coldUntil - now) / Fleet.MILLI));
    return new ServerListing(
        engines.stream().filter(engine -> engine.listed).map(Engine::server).toList(),
        Set.of(),
        left);
  }

  private void exchangeSums() {
    if (now % SUM_INTERVAL != 0) {
      return;
    }
    shareRefusals();
    List<List<InFlightAt>> before = digests;
    digests = entries.stream().map(FleetScheduler::digest).toList();
    Map<Integer, Integer> sums =
        before.stream()
            .flatMap(List::stream)
            .collect(
                Collectors.groupingBy(
                    InFlightAt::server, Collectors.summingInt(InFlightAt::requests)));
    IntStream.range(0, before.size())
        .forEach(
            i -> {
              Map<Integer, Integer> others = new HashMap<>(sums);
              before
                  .get(i)
                  .forEach(own -> others.merge(own.server(), -own.requests(), Integer::sum));
              entries
                  .get(i)
                  .updateAggregateLoad(
                      others.entrySet().stream()
                          .map(sum -> new InFlightAt(sum.getKey(), sum.getValue(), 0))
                          .toList(),
                      now);
            });
  }

  /** Lets the leader mark the servers that refused a connection of any entry. */
  private void shareRefusals() {
    Set<BackendServerId> before = refusing;
    refusing =
        entries.stream().flatMap(entry -> entry.refusing(now).stream()).collect(Collectors.toSet());
    List<GatewayServer> newer =
        known.stream()
            .map(
                server ->
                    before.contains(server.id()) && millis() - server.refusedAtMillis() >= 500
                        ? server.refusedAt(millis())
                        : server)
            .toList();
    if (!newer.equals(known)) {
      known = newer;
      entries.forEach(entry -> entry.updateServers(known, now, millis()));
    }
  }

  private void arrive() {
    double expected = perSecond * (double) STEP / SECOND;
    int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int i = 0; i < count; i++) {
      FleetScheduler entry = entries.get(random.nextInt(entries.size()));
      FleetJob job =
          new FleetJob(
              new RequestId("r" + jobs++),
              Fleet.LLM,
              1,
              now,
              now + 400 * Fleet.MILLI,
              PromptShape.none(),
              false,
              Set.of());
      entry.offer(job);
      at(job.waitDeadline() / Fleet.MILLI, () -> entry.cancelWaiting(job));
    }
  }

  private void send(FleetScheduler entry, Binding binding) {
    Engine engine =
        engines.stream()
            .filter(it -> it.id.equals(binding.server().id()))
            .findFirst()
            .orElseThrow();
    RequestId id = binding.job().id();
    int starts = engine.starts;
    boolean isRefused = !engine.up;
    long length = engine.runTime();
    if (engine.up) {
      engine.received.add(now);
      engine.running++;
    }
    at(
        (now + length) / Fleet.MILLI,
        () -> {
          boolean isSound = !isRefused && engine.up && engine.starts == starts;
          engine.running -= isSound ? 1 : 0;
          entry.ended(
              id,
              isRefused ? AttemptResult.REFUSED : isSound ? AttemptResult.OK : AttemptResult.FAILED,
              now);
        });
  }

  /** Returns the most requests that an engine of the first domain got in any second of a time. */
  int mostInASecond(long fromMillis, long untilMillis) {
    return firstDomain().stream()
        .mapToInt(engine -> engine.mostInASecond(fromMillis, untilMillis))
        .max()
        .orElseThrow();
  }

  /** Returns how many requests the engines of the first domain got, on average. */
  double received(long fromMillis, long untilMillis) {
    return firstDomain().stream()
        .mapToInt(engine -> engine.between(fromMillis, untilMillis).size())
        .average()
        .orElseThrow();
  }

  /** One engine. */
  private final class Engine {
    private final int number;
    private final BackendServerId id;
    private final List<Long> received = new ArrayList<>();
    private boolean up = true;
    private boolean listed = true;
    private long coldUntil;
    private int starts;
    private int running;

    Engine(int number) {
      this.number = number;
      this.id = new BackendServerId("s" + number);
    }

    GatewayServer server() {
      return new GatewayServer(
          id,
          Fleet.LLM,
          "10.0.0." + number,
          Fleet.DOMAINS.get(number % 4),
          SLOTS,
          false,
          ServerKind.STEADY);
    }

    long runTime() {
      if (!up) {
        return STEP;
      }
      long alone = coldUntil > now ? COLD_RUN : RUN;
      return isSlowedByLoad ? alone * Math.max(SLOTS, running + 1) / SLOTS : alone;
    }

    void stop(boolean staysListed) {
      up = false;
      running = 0;
      listed = staysListed;
      starts++;
    }

    void start() {
      up = true;
      listed = true;
      coldUntil = now + COLD;
    }

    private List<Long> between(long fromMillis, long untilMillis) {
      return received.stream()
          .filter(at -> at >= fromMillis * Fleet.MILLI && at < untilMillis * Fleet.MILLI)
          .toList();
    }

    int mostInASecond(long fromMillis, long untilMillis) {
      List<Long> times = between(fromMillis, untilMillis);
      return times.stream()
          .mapToInt(
              start ->
                  (int) times.stream().filter(at -> at >= start && at < start + SECOND).count())
          .max()
          .orElse(0);
    }
  }
}
