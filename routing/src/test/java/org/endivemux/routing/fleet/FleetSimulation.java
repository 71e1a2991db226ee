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
import org.endivemux.routing.fleet.FleetScheduler.Binding;

/**
 * Plays requests through the schedulers of many entries onto engines that batch, in virtual time.
 *
 * <p>Engines read prompts one at a time between the tokens of all that run, take so many requests
 * and queue a few more, and turn away the rest. Confined to one thread.
 */
final class FleetSimulation {
  private static final long STEP = 20 * Fleet.MILLI;
  private static final int STEP_MILLIS = 20;
  private static final int SLOTS = 12;
  private static final int QUEUE = 25;
  private static final int READ_TOKENS_PER_MILLI = 125;
  private static final double STEP_BASE_MILLIS = 3.27;
  private static final double STEP_MILLIS_PER_REQUEST = 0.0823;

  /** Part of its speed that a batch keeps while a prompt is read beside it. */
  private static final double SPEED_BESIDE_READING = 0.2;

  private static final int PROMPT_TOKENS = 6000;
  private static final int ANSWER_TOKENS = 300;
  private static final long PATIENCE = 1100 * Fleet.MILLI;
  private static final int SESSIONS = 400;

  /** Rounds of 20 ms after which load is told. */
  record Telling(Way way, int everyRounds) {
    enum Way {
      /** Each entry tells those of its cell of eight. */
      CELLS,
      /** Each entry hears the sum over all others. */
      SUMS
    }
  }

  /** Holds what became of all requests. */
  record Outcome(int requests, int turnedAway, int givenUp, int onTime) {}

  private final Random random;
  private final Telling telling;
  private final List<FleetScheduler> entries = new ArrayList<>();
  private final Map<BackendServerId, Engine> engines = new HashMap<>();
  private final Map<RequestId, Request> requests = new HashMap<>();
  private long now;
  private int made;
  private int turnedAway;
  private int givenUp;
  private int onTime;

  FleetSimulation(int entryCount, int engineCount, Telling telling, long seed) {
    this.random = new Random(seed);
    this.telling = telling;
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
                  new FleetScheduler(Fleet.DOMAINS.get(i % Fleet.DOMAINS.size()));
              entry.declare(List.of(Fleet.spec()));
              entry.list(listed);
              entries.add(entry);
            });
  }

  /**
   * Plays a pattern of arrivals and returns what became of them.
   *
   * @param perSecond requests a second of all entries, by the second of the day
   */
  Outcome play(int seconds, IntUnaryOperator perSecond) {
    int rounds = seconds * 1000 / STEP_MILLIS;
    IntStream.range(0, rounds)
        .forEach(round -> step(round, perSecond.applyAsInt(round * STEP_MILLIS / 1000)));
    return new Outcome(made, turnedAway, givenUp, onTime);
  }

  private void step(int round, int perSecond) {
    now += STEP;
    double expected = perSecond * STEP_MILLIS / 1000.0;
    int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    IntStream.range(0, arrivals).forEach(i -> arrive());
    if (round % telling.everyRounds() == 0) {
      tell();
    }
    entries.forEach(this::bind);
    engines.forEach((id, engine) -> engine.work(this));
  }

  private void arrive() {
    int entry = random.nextInt(entries.size());
    PromptShape prompt =
        new PromptShape(
            "m",
            PROMPT_TOKENS,
            ANSWER_TOKENS,
            List.of(
                new PromptPart("session" + random.nextInt(SESSIONS), 0),
                new PromptPart("own" + made, PROMPT_TOKENS)));
    Request request = new Request("r" + made++, entry, prompt, now, Set.of());
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
                request.arrivedAt + PATIENCE,
                request.prompt,
                true,
                request.avoid));
  }

  private void bind(FleetScheduler entry) {
    for (Binding binding : entry.bind(now)) {
      Request request = requests.remove(binding.job().id());
      if (now > binding.job().giveUpAt()) {
        givenUp++;
        entry.ended(binding.job().id(), TryEnd.CANCELLED, now);
      } else if (!engines.get(binding.server().id()).take(request)) {
        turnedAway++;
        entry.ended(binding.job().id(), TryEnd.FULL, now);
      }
    }
  }

  private void tell() {
    IntStream.range(0, entries.size()).forEach(this::tell);
  }

  private void tell(int hearer) {
    if (telling.way() == Telling.Way.SUMS) {
      Map<Integer, InFlightAt> sum = new HashMap<>();
      IntStream.range(0, entries.size())
          .filter(i -> i != hearer)
          .forEach(
              i -> entries.get(i).digest().forEach(at -> sum.merge(at.server(), at, this::add)));
      entries.get(hearer).othersHave(List.copyOf(sum.values()), now);
    } else {
      IntStream.range(0, entries.size())
          .filter(i -> i != hearer && i % cells() == hearer % cells())
          .forEach(i -> entries.get(hearer).peerDigest("entry" + i, entries.get(i).digest(), now));
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
    private double unread = PROMPT_TOKENS;
    private double unmade = ANSWER_TOKENS;

    Request(
        String name, int entry, PromptShape prompt, long arrivedAt, Set<BackendServerId> avoid) {
      this.name = name;
      this.entry = entry;
      this.prompt = prompt;
      this.arrivedAt = arrivedAt;
      this.avoid = avoid;
    }
  }

  private static final class Engine {
    private final List<Request> running = new ArrayList<>();
    private final List<Request> queue = new ArrayList<>();

    boolean take(Request request) {
      if (running.size() >= SLOTS && queue.size() >= QUEUE) {
        return false;
      }
      queue.add(request);
      return true;
    }

    void work(FleetSimulation fleet) {
      while (running.size() < SLOTS && !queue.isEmpty()) {
        running.add(queue.remove(0));
      }
      double reading = STEP_MILLIS * (double) READ_TOKENS_PER_MILLI;
      for (Request request : running) {
        double read = Math.min(reading, request.unread);
        reading -= read;
        boolean first = request.unread > 0 && request.unread <= read;
        request.unread -= read;
        if (first) {
          fleet.began(request);
        }
      }
      boolean reads = reading < STEP_MILLIS * (double) READ_TOKENS_PER_MILLI;
      double tokens =
          STEP_MILLIS
              / (STEP_BASE_MILLIS + STEP_MILLIS_PER_REQUEST * running.size())
              * (reads ? SPEED_BESIDE_READING : 1);
      running.stream().filter(it -> it.unread <= 0).forEach(it -> it.unmade -= tokens);
      running.stream().filter(it -> it.unmade <= 0).toList().forEach(it -> finish(it, fleet));
    }

    private void finish(Request request, FleetSimulation fleet) {
      running.remove(request);
      fleet.entries.get(request.entry).ended(new RequestId(request.name), TryEnd.OK, fleet.now);
    }
  }

  private void began(Request request) {
    entries.get(request.entry).answered(new RequestId(request.name));
    onTime += now - request.arrivedAt <= 1500 * Fleet.MILLI ? 1 : 0;
  }
}
