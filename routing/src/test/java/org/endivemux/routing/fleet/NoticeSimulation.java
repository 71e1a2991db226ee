package org.endivemux.routing.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Simulates entries that send jobs to servers which say in their responses that they leave, or that
 * they want no requests for some time, while the platform's list does not change.
 *
 * <p>Deterministic for a seed. Not thread-safe.
 */
final class NoticeSimulation {
  private static final long MILLI = 1_000_000L;
  private static final long RESUMPTION_STEP = 50 * MILLI;
  private static final long RUN = 300 * MILLI;
  private static final long MAX_WAIT = 900 * MILLI;
  private static final long ON_TIME = 700 * MILLI;

  /** A server that leaves serves for this long after its first notice. */
  private static final long DRAIN = 3000 * MILLI;

  /** What is under way when a server refuses a request may still arrive for this long. */
  private static final long UNDER_WAY = 500 * MILLI;

  private final Random random;
  private final boolean heeds;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long eventNumber;
  private int jobs;
  private long now;
  private int served;
  private int onTime;
  private int refused;
  private int againstNotice;

  private record Event(long at, long number, Runnable action) {}

  /** Counts of one run. */
  record Figures(int served, int onTime, int refused, int againstNotice) {}

  /**
   * @param heeds whether entries heed the notices
   */
  NoticeSimulation(long seed, boolean heeds, int entryCount, int serverCount) {
    this.random = new Random(seed);
    this.heeds = heeds;
    IntStream.range(0, serverCount).forEach(i -> servers.add(new Server(i)));
    List<GatewayServer> listed = servers.stream().map(server -> server.listed).toList();
    IntStream.range(0, entryCount).forEach(i -> entries.add(new Entry(i, listed)));
  }

  NoticeSimulation traffic(double meanGapMillis) {
    Entry entry = entries.get(random.nextInt(entries.size()));
    entry.offer();
    after(
        (long) (-Math.log(1 - random.nextDouble()) * meanGapMillis * MILLI),
        () -> traffic(meanGapMillis));
    return this;
  }

  /** Lets a share of the servers leave one after the other. */
  NoticeSimulation drain(int count, long fromMillis, long gapMillis) {
    IntStream.range(0, count)
        .forEach(
            i -> after((fromMillis + i * gapMillis) * MILLI, () -> servers.get(i).leaveAt(now)));
    return this;
  }

  /** Lets all servers refuse requests with a pause, each at random times. */
  NoticeSimulation refuse(long fromMillis, long untilMillis) {
    servers.forEach(
        server -> {
          server.refusesFrom = fromMillis * MILLI;
          server.refusesUntil = untilMillis * MILLI;
        });
    return this;
  }

  Figures run(long millis) {
    while (!events.isEmpty() && events.peek().at() <= millis * MILLI) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    return new Figures(served, onTime, refused, againstNotice);
  }

  private void after(long delay, Runnable action) {
    events.add(new Event(now + delay, eventNumber++, action));
  }

  /** One server. */
  private final class Server {
    private final GatewayServer listed;
    private long leavesAt = Long.MAX_VALUE;
    private long refusesFrom = Long.MAX_VALUE;
    private long refusesUntil;
    private long pausedUntil;

    Server(int number) {
      this.listed = Fleet.server(number, Fleet.DOMAINS.get(number % 4), ServerKind.STEADY, false);
    }

    void leaveAt(long at) {
      leavesAt = at;
    }

    boolean isGone() {
      return leavesAt != Long.MAX_VALUE && now > leavesAt + 2 * DRAIN;
    }

    /** Returns the pause for which the server refuses a request now; zero if it accepts it. */
    Duration refusal() {
      boolean storm = now >= refusesFrom && now < refusesUntil;
      if (storm && now >= pausedUntil && random.nextInt(4) == 0) {
        pausedUntil = now + (500 + random.nextInt(3500)) * MILLI;
      }
      return now < pausedUntil ? Duration.ofNanos(pausedUntil - now) : Duration.ZERO;
    }
  }

  /** One entry. */
  private final class Entry {
    private final ServerNotices notices = new ServerNotices(Duration.ofMinutes(1));
    private final FleetScheduler scheduler;
    private final int number;
    private final Map<BackendServerId, Long> leavingHeardAt = new HashMap<>();
    private final Map<BackendServerId, long[]> pauses = new HashMap<>();

    Entry(int number, List<GatewayServer> listed) {
      this.number = number;
      this.scheduler = new FleetScheduler(Fleet.DOMAINS.get(number % 4), notices);
      scheduler.updateServices(List.of(Fleet.spec()));
      scheduler.updateServers(listed);
    }

    void offer() {
      FleetJob job =
          new FleetJob(
              new RequestId("e" + number + "-" + jobs++),
              Fleet.LLM,
              2,
              now,
              now + MAX_WAIT,
              PromptShape.none(),
              false,
              java.util.Set.of());
      scheduler.offer(job);
      after(MAX_WAIT, () -> refused += scheduler.cancelWaiting(job) ? 1 : 0);
      bind();
    }

    private void bind() {
      scheduler.bind(now).forEach(this::send);
    }

    private void send(Binding binding) {
      Server server =
          servers.stream().filter(s -> s.listed.equals(binding.server())).findFirst().orElseThrow();
      againstNotice += isAgainstNotice(server) ? 1 : 0;
      Duration refusal = server.refusal();
      if (server.isGone() || !refusal.isZero()) {
        after(10 * MILLI, () -> refusedBy(server, binding.job(), refusal));
      } else {
        after(RUN, () -> answeredBy(server, binding.job()));
      }
    }

    private boolean isAgainstNotice(Server server) {
      BackendServerId id = server.listed.id();
      boolean left = now - leavingHeardAt.getOrDefault(id, now) > DRAIN;
      long[] pause = pauses.getOrDefault(id, new long[] {0, 0});
      return left || (now > pause[0] + UNDER_WAY && now < pause[1]);
    }

    private void refusedBy(Server server, FleetJob job, Duration pause) {
      if (!pause.isZero()) {
        pauses.put(server.listed.id(), new long[] {now, now + pause.toNanos()});
        if (heeds) {
          long end = notices.pauses(server.listed.id(), pause, now);
          IntStream.rangeClosed(0, 10)
              .forEach(step -> after(end - now + step * RESUMPTION_STEP, this::bind));
        }
      }
      scheduler.ended(job.id(), AttemptResult.FULL, now);
      if (now < job.waitDeadline()) {
        scheduler.offer(job);
      }
      bind();
    }

    private void answeredBy(Server server, FleetJob job) {
      if (now >= server.leavesAt) {
        leavingHeardAt.putIfAbsent(server.listed.id(), now);
        if (heeds) {
          notices.leaves(server.listed.id(), now);
        }
      }
      scheduler.ended(job.id(), AttemptResult.OK, now);
      served++;
      onTime += now - job.arrivedAt() <= ON_TIME ? 1 : 0;
      bind();
    }
  }
}
