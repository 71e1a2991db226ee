package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.PromptPartId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;

/**
 * Simulates entries that send prompts to engines which may crash, and a leader that combines what
 * the entries report.
 *
 * <p>Sound prompts share a part with all others and a part with the other prompts of their session.
 * Deterministic for a seed. Not thread-safe.
 */
final class CrashSimulation {
  static final PromptPartId COMMON = new PromptPartId("common");
  static final PromptPartId CRASHING = new PromptPartId("crashing");

  private static final long MILLI = 1_000_000L;
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final int SESSIONS = 40;
  private static final long CHECK_DELAY = 100 * MILLI;
  private static final long POLL_INTERVAL = 400 * MILLI;
  private static final long WAKE_DELAY = 20 * MILLI;
  private static final long RESTART = 4000 * MILLI;

  private final Random random;
  private final PartQuarantine leader = new PartQuarantine();
  private final List<CrashTracker> entries = new ArrayList<>();
  private final GatewayServer[] servers;
  private final List<List<Attempt>> running = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final TreeSet<PromptPartId> everQuarantined = new TreeSet<>();
  private final List<Long> crashingSentAt = new ArrayList<>();
  private final List<Long> crashes = new ArrayList<>();
  private long eventNumber;
  private int serversStarted;
  private long now;
  private int completed;

  private record Event(long at, long number, Runnable action) {}

  private record Attempt(int entry, GatewayServer server, PromptShape prompt) {}

  CrashSimulation(long seed, int entryCount, int serverCount) {
    this.random = new Random(seed);
    this.servers = new GatewayServer[serverCount];
    IntStream.range(0, entryCount).forEach(i -> entries.add(new CrashTracker()));
    IntStream.range(0, serverCount).forEach(this::startServer);
    IntStream.range(0, entryCount).forEach(i -> after(random.nextInt(400) * MILLI, () -> poll(i)));
  }

  /** Sends sound prompts, and from a time on crashing ones, at mean intervals; 0 for none. */
  CrashSimulation traffic(long soundMillis, long crashingMillis, long crashingFromMillis) {
    arrive(soundMillis, this::soundPrompt);
    if (crashingMillis > 0) {
      after(crashingFromMillis * MILLI, () -> arrive(crashingMillis, this::crashingPrompt));
    }
    return this;
  }

  /** Crashes servers for reasons of their own. */
  CrashSimulation crashAt(long atMillis, int count) {
    after(atMillis * MILLI, () -> IntStream.range(0, count).forEach(this::crash));
    return this;
  }

  CrashSimulation run(long millis) {
    while (!events.isEmpty() && events.peek().at() <= millis * MILLI) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    return this;
  }

  private void after(long delay, Runnable action) {
    events.add(new Event(now + delay, eventNumber++, action));
  }

  private void arrive(long intervalMillis, java.util.function.Supplier<PromptShape> prompt) {
    send(random.nextInt(entries.size()), prompt.get());
    long gap = (long) (-Math.log(1 - random.nextDouble()) * intervalMillis * MILLI);
    after(gap, () -> arrive(intervalMillis, prompt));
  }

  private PromptShape soundPrompt() {
    return prompt(COMMON.value(), "session" + random.nextInt(SESSIONS));
  }

  private PromptShape crashingPrompt() {
    return prompt(COMMON.value(), CRASHING.value());
  }

  private PromptShape prompt(String first, String second) {
    return new PromptShape(
        "m",
        300,
        50,
        List.of(
            new PromptPart(first, 100),
            new PromptPart(second, 100),
            new PromptPart("own" + random.nextLong(), 100)));
  }

  private void send(int entry, PromptShape prompt) {
    int target = random.nextInt(servers.length);
    if (servers[target] == null || entries.get(entry).isHeldBack(prompt)) {
      return;
    }
    entries.get(entry).sent(prompt);
    Attempt attempt = new Attempt(entry, servers[target], prompt);
    running.get(target).add(attempt);
    boolean crashing = prompt.sharedPartIds().contains(CRASHING);
    if (crashing) {
      crashingSentAt.add(now);
    }
    long took = (200 + random.nextInt(crashing ? 200 : 1500)) * MILLI;
    after(took, () -> finish(target, attempt, crashing));
  }

  private void finish(int target, Attempt attempt, boolean crashing) {
    if (!running.get(target).contains(attempt)) {
      return;
    }
    if (crashing) {
      crashes.add(now);
      crash(target);
    } else {
      running.get(target).remove(attempt);
      completed++;
      entries.get(attempt.entry()).completed(attempt.prompt(), now);
    }
  }

  private void crash(int target) {
    if (servers[target] == null) {
      return;
    }
    BackendServerId id = servers[target].id();
    servers[target] = null;
    running.get(target).forEach(attempt -> broke(attempt, id));
    running.get(target).clear();
    after(RESTART + random.nextInt(1000) * MILLI, () -> startServer(target));
  }

  private void broke(Attempt attempt, BackendServerId id) {
    CrashTracker tracker = entries.get(attempt.entry());
    if (tracker.attemptBroke(attempt.server(), attempt.prompt(), now)) {
      after(CHECK_DELAY, () -> tracker.serverChecked(id, true));
    }
  }

  private void startServer(int index) {
    servers[index] =
        new GatewayServer(
            new BackendServerId("s" + serversStarted++),
            SERVICE,
            "10.0.0." + index + ":80",
            new FailureDomain("a"),
            8,
            false,
            ServerKind.STEADY);
    while (running.size() <= index) {
      running.add(new ArrayList<>());
    }
  }

  private void poll(int entry) {
    CrashNews news = entries.get(entry).news(now);
    if (leader.add(new VmId("entry" + entry), news, 1, now)) {
      after(WAKE_DELAY, () -> entries.forEach(other -> other.update(leader.verdicts(now))));
    }
    everQuarantined.addAll(leader.quarantined());
    after(POLL_INTERVAL, () -> poll(entry));
  }

  /** Returns all parts that were quarantined at any time. */
  List<PromptPartId> everQuarantined() {
    return List.copyOf(everQuarantined);
  }

  /** Returns the times of the crashes that the crashing part caused, in milliseconds. */
  List<Long> crashTimes() {
    return crashes.stream().map(at -> at / MILLI).toList();
  }

  /** Returns the number of crashing prompts that were sent later than a time. */
  long crashingSentAfter(long millis) {
    return crashingSentAt.stream().filter(at -> at > millis * MILLI).count();
  }

  int completed() {
    return completed;
  }
}
