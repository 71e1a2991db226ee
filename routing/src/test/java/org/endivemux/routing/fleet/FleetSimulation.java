package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Simulates, in virtual time, many entries that schedule requests onto batching engines.
 *
 * <p>Engines prefill prompts one at a time, which slows the decoding of their batch. They run a
 * limited number of requests, queue a few more and reject the rest. Confined to one thread.
 */
final class FleetSimulation {
  private static final long STEP_NANOS = 20 * Fleet.MILLI;
  private static final int STEP_MILLIS = 20;
  private static final int SLOTS = 12;
  private static final int QUEUE = 25;
  private static final double STEP_BASE_MILLIS = 3.27;
  private static final double STEP_MILLIS_PER_REQUEST = 0.0823;

  /** Relative decoding speed of a batch while the engine prefills a prompt. */
  private static final double SPEED_DURING_PREFILL = 0.2;

  /** Part of an engine's memory that holds shared prompt parts. */
  private static final int CACHED_TOKENS = 100_000;

  /** Time that a request may wait at its entry, as a multiple of its target. */
  private static final double MAX_WAIT_TARGETS = 0.75;

  /**
   * Describes the requests of a simulation and how fast engines read their prompts.
   *
   * @param sharedTokens tokens of the part that all requests of a session share
   * @param ownTokens tokens of the rest of the prompt
   * @param targetMillis time to the first event within which a request is on time
   */
  record Workload(
      int sharedTokens,
      int ownTokens,
      int answerTokens,
      int sessions,
      int targetMillis,
      double prefillTokensPerMilli) {
    /** Month-end reports on engines that read prompts fast. */
    static Workload reports() {
      return new Workload(0, 6000, 300, 400, 1500, 125);
    }
  }

  /** Holds how entries exchange their load, and after how many rounds of 20 ms. */
  record LoadExchange(Mode mode, int everyRounds) {
    enum Mode {
      /** Each entry sends its load to the members of its cell of eight. */
      CELLS,
      /** Each entry receives the sum over all others. */
      SUMS
    }
  }

  /** Counts requests by how they ended. */
  record Outcome(int requests, int rejected, int abandoned, int onTime, int sharedPartReads) {}

  private final Random random;
  private final LoadExchange exchange;
  private final Workload workload;
  private final List<FleetScheduler> entries = new ArrayList<>();
  private final Map<BackendServerId, Engine> engines = new HashMap<>();
  private final Map<RequestId, Request> requests = new HashMap<>();
  private long now;
  private int created;
  private int rejected;
  private int abandoned;
  private int onTime;
  private int sharedPartReads;

  FleetSimulation(
      int entryCount, int engineCount, LoadExchange exchange, Workload workload, long seed) {
    this.random = new Random(seed);
    this.workload = workload;
    this.exchange = exchange;
    List<GatewayServer> listed =
        IntStream.range(0, engineCount)
            .mapToObj(
                i ->
                    new GatewayServer(
                        new BackendServerId("s" + i),
                        Fleet.LLM,
                        "10.0.0." + i,
                        Fleet.DOMAINS.get(i % Fleet.DOMAINS.size()),
                        SLOTS,
                        false,
                        ServerKind.CHEAP))
            .toList();
    listed.forEach(server -> engines.put(server.id(), new Engine()));
    IntStream.range(0, entryCount)
        .forEach(
            i -> {
              FleetScheduler entry =
                  new FleetScheduler(Fleet.DOMAINS.get(i % Fleet.DOMAINS.size()), Fleet.notices());
              entry.updateServices(List.of(Fleet.spec()));
              entry.updateServers(listed);
              entries.add(entry);
            });
  }

  /**
   * Runs a pattern of arrivals and returns how the requests ended.
   *
   * @param perSecond requests a second of all entries, by the second since the start
   */
  Outcome play(int seconds, IntUnaryOperator perSecond) {
    int rounds = seconds * 1000 / STEP_MILLIS;
    IntStream.range(0, rounds)
        .forEach(round -> step(round, perSecond.applyAsInt(round * STEP_MILLIS / 1000)));
    return new Outcome(created, rejected, abandoned, onTime, sharedPartReads);
  }

  private void step(int round, int perSecond) {
    now += STEP_NANOS;
    double expected = perSecond * STEP_MILLIS / 1000.0;
    int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    IntStream.range(0, arrivals).forEach(i -> arrive());
    if (round % exchange.everyRounds() == 0) {
      exchangeLoad();
    }
    entries.forEach(this::bind);
    engines.forEach((id, engine) -> engine.work(this));
  }

  private void arrive() {
    int entry = random.nextInt(entries.size());
    PromptShape prompt =
        new PromptShape(
            "m",
            workload.sharedTokens() + workload.ownTokens(),
            workload.answerTokens(),
            List.of(
                new PromptPart(
                    "session" + random.nextInt(workload.sessions()), workload.sharedTokens()),
                new PromptPart("own" + created, workload.ownTokens())));
    Request request =
        new Request("r" + created++, entry, prompt, now, workload.answerTokens(), Set.of());
    offer(request);
  }

  private void offer(Request request) {
    requests.put(new RequestId(request.name), request);
    entries
        .get(request.entry)
        .offer(
            new FleetJob(
                new RequestId(request.name),
                Fleet.LLM,
                1,
                request.arrivedAt,
                request.arrivedAt
                    + (long) (workload.targetMillis() * MAX_WAIT_TARGETS * Fleet.MILLI),
                request.prompt,
                true,
                request.avoid));
  }

  private void bind(FleetScheduler entry) {
    for (Binding binding : entry.bind(now)) {
      Request request = requests.remove(binding.job().id());
      if (now > binding.job().waitDeadline()) {
        abandoned++;
        entry.ended(binding.job().id(), AttemptResult.CANCELLED, now);
      } else if (!engines.get(binding.server().id()).take(request, this)) {
        rejected++;
        entry.ended(binding.job().id(), AttemptResult.FULL, now);
      }
    }
  }

  private void exchangeLoad() {
    IntStream.range(0, entries.size()).forEach(this::exchangeLoad);
  }

  private void exchangeLoad(int receiver) {
    if (exchange.mode() == LoadExchange.Mode.SUMS) {
      Map<Integer, InFlightAt> sum = new HashMap<>();
      IntStream.range(0, entries.size())
          .filter(i -> i != receiver)
          .forEach(
              i -> entries.get(i).digest().forEach(at -> sum.merge(at.server(), at, this::add)));
      entries.get(receiver).updateAggregateLoad(List.copyOf(sum.values()), now);
    } else {
      IntStream.range(0, entries.size())
          .filter(i -> i != receiver && i % cells() == receiver % cells())
          .forEach(
              i -> entries.get(receiver).peerDigest("entry" + i, entries.get(i).digest(), now));
    }
  }

  private int cells() {
    return (entries.size() + 7) / 8;
  }

  private InFlightAt add(InFlightAt one, InFlightAt other) {
    return new InFlightAt(
        one.server(),
        one.requests() + other.requests(),
        one.pendingPrefillTokens() + other.pendingPrefillTokens());
  }

  private static final class Request {
    private final String name;
    private final int entry;
    private final PromptShape prompt;
    private final long arrivedAt;
    private final Set<BackendServerId> avoid;
    private double pendingPrefillTokens;
    private double remainingAnswerTokens;

    Request(
        String name,
        int entry,
        PromptShape prompt,
        long arrivedAt,
        int answerTokens,
        Set<BackendServerId> avoid) {
      this.name = name;
      this.entry = entry;
      this.prompt = prompt;
      this.arrivedAt = arrivedAt;
      this.remainingAnswerTokens = answerTokens;
      this.avoid = avoid;
    }
  }

  private static final class Engine {
    private final List<Request> running = new ArrayList<>();
    private final List<Request> queue = new ArrayList<>();

    private final PrefixCacheEstimate cache = new PrefixCacheEstimate(CACHED_TOKENS);

    boolean take(Request request, FleetSimulation fleet) {
      if (running.size() >= SLOTS && queue.size() >= QUEUE) {
        return false;
      }
      int cached = cache.cachedTokens(request.prompt);
      fleet.sharedPartReads += cached == 0 ? 1 : 0;
      request.pendingPrefillTokens = request.prompt.tokens() - cached;
      cache.recordSent(request.prompt);
      queue.add(request);
      return true;
    }

    void work(FleetSimulation fleet) {
      while (running.size() < SLOTS && !queue.isEmpty()) {
        running.add(queue.remove(0));
      }
      double budget = STEP_MILLIS * fleet.workload.prefillTokensPerMilli();
      double prefillBudget = budget;
      for (Request request : running) {
        double prefilled = Math.min(prefillBudget, request.pendingPrefillTokens);
        prefillBudget -= prefilled;
        boolean first =
            request.pendingPrefillTokens > 0 && request.pendingPrefillTokens <= prefilled;
        request.pendingPrefillTokens -= prefilled;
        if (first) {
          fleet.firstEvent(request);
        }
      }
      boolean prefilling = prefillBudget < budget;
      double tokens =
          STEP_MILLIS
              / (STEP_BASE_MILLIS + STEP_MILLIS_PER_REQUEST * running.size())
              * (prefilling ? SPEED_DURING_PREFILL : 1);
      running.stream()
          .filter(it -> it.pendingPrefillTokens <= 0)
          .forEach(it -> it.remainingAnswerTokens -= tokens);
      running.stream()
          .filter(it -> it.remainingAnswerTokens <= 0)
          .toList()
          .forEach(it -> finish(it, fleet));
    }

    private void finish(Request request, FleetSimulation fleet) {
      running.remove(request);
      fleet
          .entries
          .get(request.entry)
          .ended(new RequestId(request.name), AttemptResult.OK, fleet.now);
    }
  }

  private void firstEvent(Request request) {
    entries.get(request.entry).firstEventReceived(new RequestId(request.name), now);
    onTime += now - request.arrivedAt <= workload.targetMillis() * Fleet.MILLI ? 1 : 0;
  }
}
