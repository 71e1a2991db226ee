package org.endivemux.integration;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.platform.standin.BrokenAnswer;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.RouteKind;
import org.endivemux.testing.FaultProxy;

/**
 * Injects overlapping faults into a {@link GatewayFleet} under load from callers and an operator,
 * and returns the violated invariants.
 *
 * <p>The seed determines the faults, their targets and their order; the timing of requests relative
 * to them varies between runs. At most one disk is lost at a time, the number that the fleet
 * tolerates; the next may be lost once it has been replaced. Used by one thread.
 */
final class GatewaySoak {
  /** Number of faults in one run. */
  static final int STEPS = 20;

  private static final int ENTRIES = 2;
  private static final int ENGINES = 4;
  private static final int CALLERS = 6;

  /** Number of sales after the faults, while servers answer twice. */
  private static final int LAST_SALES = 60;

  /** Share of answers that servers break during the faults, in any way. */
  private static final int BROKEN_PERCENT = 3;

  /** One request of so many is an upload. */
  private static final int REQUESTS_PER_UPLOAD = 12;

  private static final int MIN_STEP_MILLIS = 200;
  private static final int STEP_SPREAD_MILLIS = 900;

  /** A voter is replaced in one of so many steps, if the one before has been repaired. */
  private static final int STEPS_PER_REPLACEMENT = 4;

  private static final List<RouteKind> KINDS = List.of(RouteKind.values());
  private static final List<SoakFault> FAULTS = List.of(SoakFault.values());

  private final long seed;
  private final int steps;
  private final Random random;
  private final GatewayFleet fleet = new GatewayFleet(ENTRIES, ENGINES);
  private final Deque<Runnable> recoveries = new ArrayDeque<>();
  private final List<String> faultHistory = new ArrayList<>();
  private volatile boolean stopped;
  private final AtomicLong version = new AtomicLong(1);
  private boolean diskLost;

  /**
   * Draws replacements of voters apart from the faults, whose recorded seeds keep their meaning.
   */
  private final Random replacements;

  /** Newest membership when the last disk was lost, until the loss is repaired. */
  private OptionalLong lossAfterIndex = OptionalLong.empty();

  GatewaySoak(long seed, int steps) {
    this.seed = seed;
    this.steps = steps;
    this.random = new Random(seed);
    this.replacements = new Random(seed * 19);
  }

  /** Returns the violations; throws {@link AssertionError} if the fleet does not recover. */
  List<String> run() {
    try (fleet) {
      fleet.start();
      fleet.breakAnswers(List.of(BrokenAnswer.values()), BROKEN_PERCENT);
      List<Thread> clients = startClients();
      IntStream.range(0, steps).forEach(step -> runStep());
      heal();
      awaitRecovery();
      answerTwice();
      stopped = true;
      join(clients);
    } catch (AssertionError e) {
      throw new AssertionError("Seed " + seed + ", " + faultHistory + ": " + e.getMessage(), e);
    } finally {
      stopped = true;
    }
    System.out.println("soak seed=" + seed + " " + fleet.witness.responseCounts());
    return fleet.witness.violations();
  }

  /** Returns the injected faults in order. */
  List<String> faultHistory() {
    return List.copyOf(faultHistory);
  }

  Path logs() {
    return fleet.logs;
  }

  private List<Thread> startClients() {
    List<Thread> clients = new ArrayList<>();
    IntStream.range(0, CALLERS)
        .forEach(
            i -> clients.add(new Thread(() -> runCaller("s" + seed + "c" + i, i), "caller-" + i)));
    clients.add(new Thread(this::runOperator, "operator"));
    clients.forEach(Thread::start);
    return clients;
  }

  private static void join(List<Thread> clients) {
    try {
      for (Thread client : clients) {
        client.join(TimeUnit.SECONDS.toMillis(30));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends requests to one entry and moves on to the next whenever a request is not served. */
  private void runCaller(String name, int number) {
    Random choices = new Random(seed * 31 + number);
    int entry = number;
    try (CallerStandIn caller = new CallerStandIn(name, fleet.witness)) {
      while (!stopped) {
        RouteKind kind = KINDS.get(choices.nextInt(KINDS.size()));
        Vm target = fleet.entries.get(entry % ENTRIES);
        String address = fleet.callersAddress(target);
        boolean isUpload = choices.nextInt(REQUESTS_PER_UPLOAD) == 0;
        CallerStandIn.Outcome outcome =
            isUpload ? caller.upload(address, kind) : caller.call(address, kind);
        if (!outcome.isServed()) {
          entry++;
        }
        pause(5 + choices.nextInt(30));
      }
    }
  }

  private void runOperator() {
    Random choices = new Random(seed * 17);
    while (!stopped) {
      fleet.operator.put(voterAddress(choices), version.addAndGet(1 + choices.nextInt(3)));
      fleet.operator.read(voterAddress(choices));
      pause(100 + choices.nextInt(300));
    }
  }

  private String voterAddress(Random choices) {
    return fleet.operatorAddress(fleet.voters.get(choices.nextInt(fleet.voters.size())));
  }

  private static void pause(long millis) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private void runStep() {
    replaceVoterSometimes();
    if (random.nextInt(8) == 0 && !diskLost) {
      diskLost = true;
      loseDisk(random.nextInt(fleet.voters.size()));
    } else {
      SoakFault fault = FAULTS.get(random.nextInt(FAULTS.size()));
      faultHistory.add(fault.name());
      recoveries.add(fault.inject(fleet, random));
    }
    pause(MIN_STEP_MILLIS + random.nextInt(STEP_SPREAD_MILLIS));
    while (recoveries.size() > 1 + random.nextInt(3)) {
      recoveries.removeFirst().run();
    }
  }

  private void loseDisk(int voter) {
    if (mayLoseDisk()) {
      faultHistory.add("DISK_LOST");
      diskIsLost();
      fleet.voters.get(voter).loseDisk();
    }
  }

  private void replaceVoterSometimes() {
    if (replacements.nextInt(STEPS_PER_REPLACEMENT) == 0 && mayLoseDisk()) {
      int voter =
          replacements.nextBoolean()
              ? fleet.leader().orElse(0)
              : replacements.nextInt(fleet.voters.size());
      faultHistory.add("VOTER_REPLACED");
      diskIsLost();
      fleet.replaceVoter(voter);
    }
  }

  /** Returns whether the disk that was lost last has been replaced as a voter. */
  private boolean mayLoseDisk() {
    if (lossAfterIndex.isPresent() && fleet.isWholeAfter(lossAfterIndex.getAsLong())) {
      lossAfterIndex = OptionalLong.empty();
    }
    return lossAfterIndex.isEmpty();
  }

  private void diskIsLost() {
    lossAfterIndex = OptionalLong.of(fleet.membershipIndex());
  }

  private void heal() {
    fleet.breakAnswers(List.of(), 0);
    recoveries.forEach(Runnable::run);
    recoveries.clear();
    Stream.of(fleet.peerProxies, fleet.engineProxies)
        .flatMap(List::stream)
        .forEach(proxy -> proxy.mode(FaultProxy.Mode.PASS));
    fleet.vms().forEach(SoakFault::startUnlessRunning);
    fleet.vms().forEach(Vm::thaw);
    fleet.replaceLeavingEngines();
  }

  /** Waits until all requests are served again and the newest configuration is in force. */
  private void awaitRecovery() {
    fleet.awaitReady();
    long last = version.addAndGet(1000);
    Await.until(
        "a change after the faults",
        () ->
            fleet.voters.stream()
                .anyMatch(voter -> fleet.operator.put(fleet.operatorAddress(voter), last)));
    fleet.voters.forEach(
        voter ->
            Await.until(
                "a read at " + voter.name,
                () -> fleet.operator.read(fleet.operatorAddress(voter)).isPresent()));
    try (CallerStandIn caller = new CallerStandIn("s" + seed + "last", fleet.witness)) {
      fleet.entries.forEach(entry -> awaitServed(caller, entry));
    }
    Await.until("the lost disks are replaced as voters", this::mayLoseDisk);
    Await.until("a usage report", () -> fleet.platform.reportedRequests() > 0);
  }

  /**
   * Lets servers answer twice while nothing else fails, so that the answer to each sale must reach
   * its caller.
   */
  private void answerTwice() {
    fleet.witness.requireEveryAnswer();
    fleet.engines.forEach(engine -> engine.mode(EngineStandIn.Mode.ANSWERS_TWICE));
    long before = sales();
    Await.until("sales at servers that answer twice", () -> sales() >= before + LAST_SALES);
    fleet.engines.forEach(engine -> engine.mode(EngineStandIn.Mode.HEALTHY));
  }

  private long sales() {
    return fleet.witness.responseCounts().entrySet().stream()
        .filter(count -> count.getKey().startsWith(RouteKind.SALE.name()))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  private void awaitServed(CallerStandIn caller, Vm entry) {
    String address = fleet.callersAddress(entry);
    KINDS.forEach(
        kind ->
            Await.until(kind + " at " + entry.name, () -> caller.call(address, kind).isServed()));
    long inForce = fleet.operator.acknowledged();
    Await.until(
        "version " + inForce + " at " + entry.name,
        () -> fleet.operator.acknowledged() > inForce || caller.isInForce(address, inForce));
  }
}
