package org.endivemux.integration;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.RouteKind;
import org.endivemux.testing.FaultProxy;

/**
 * Plays overlapping faults on a {@link GatewayFleet} while callers and an operator go on, and says
 * which promises were broken.
 *
 * <p>The seed gives the faults, their places and their order; what meets them is up to the machine.
 * One disk is lost at most, as the fleet may. Used by one thread.
 */
final class GatewaySoak {
  /** Faults of one run. */
  static final int STEPS = 20;

  private static final int ENTRIES = 2;
  private static final int ENGINES = 4;
  private static final int CALLERS = 6;
  private static final int LEAST_STEP_MILLIS = 200;
  private static final int STEP_SPREAD_MILLIS = 900;

  private static final List<RouteKind> KINDS = List.of(RouteKind.values());
  private static final List<SoakFault> FAULTS = List.of(SoakFault.values());

  private final long seed;
  private final int steps;
  private final Random random;
  private final GatewayFleet fleet = new GatewayFleet(ENTRIES, ENGINES);
  private final Deque<Runnable> ends = new ArrayDeque<>();
  private final List<String> story = new ArrayList<>();
  private volatile boolean over;
  private final AtomicLong version = new AtomicLong(1);
  private boolean diskLost;

  GatewaySoak(long seed, int steps) {
    this.seed = seed;
    this.steps = steps;
    this.random = new Random(seed);
  }

  /** Returns the broken promises; throws {@link AssertionError} when it does not recover. */
  List<String> run() {
    try (fleet) {
      fleet.start();
      List<Thread> users = startUsers();
      IntStream.range(0, steps).forEach(step -> step());
      heal();
      awaitRecovery();
      over = true;
      join(users);
    } catch (AssertionError e) {
      throw new AssertionError("Seed " + seed + ", " + story + ": " + e.getMessage(), e);
    } finally {
      over = true;
    }
    System.out.println("soak seed=" + seed + " " + fleet.witness.responseCounts());
    return fleet.witness.violations();
  }

  /** Returns the faults in their order. */
  List<String> story() {
    return List.copyOf(story);
  }

  Path logs() {
    return fleet.logs;
  }

  private List<Thread> startUsers() {
    List<Thread> users = new ArrayList<>();
    IntStream.range(0, CALLERS)
        .forEach(i -> users.add(new Thread(() -> call("s" + seed + "c" + i, i), "caller-" + i)));
    users.add(new Thread(this::operate, "operator"));
    users.forEach(Thread::start);
    return users;
  }

  private static void join(List<Thread> users) {
    try {
      for (Thread user : users) {
        user.join(TimeUnit.SECONDS.toMillis(30));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Keeps to one entry until that fails the caller. */
  private void call(String name, int number) {
    Random choices = new Random(seed * 31 + number);
    int entry = number;
    try (CallerStandIn caller = new CallerStandIn(name, fleet.witness)) {
      while (!over) {
        RouteKind kind = KINDS.get(choices.nextInt(KINDS.size()));
        Vm target = fleet.entries.get(entry % ENTRIES);
        if (!caller.call(fleet.callersAddress(target), kind).isServed()) {
          entry++;
        }
        pause(5 + choices.nextInt(30));
      }
    }
  }

  private void operate() {
    Random choices = new Random(seed * 17);
    while (!over) {
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

  private void step() {
    if (random.nextInt(8) == 0 && !diskLost) {
      diskLost = true;
      story.add("DISK_LOST");
      fleet.voters.get(random.nextInt(fleet.voters.size())).loseDisk();
    } else {
      SoakFault fault = FAULTS.get(random.nextInt(FAULTS.size()));
      story.add(fault.name());
      ends.add(fault.begin(fleet, random));
    }
    pause(LEAST_STEP_MILLIS + random.nextInt(STEP_SPREAD_MILLIS));
    while (ends.size() > 1 + random.nextInt(3)) {
      ends.removeFirst().run();
    }
  }

  private void heal() {
    ends.forEach(Runnable::run);
    ends.clear();
    Stream.of(fleet.peerProxies, fleet.engineProxies)
        .flatMap(List::stream)
        .forEach(proxy -> proxy.mode(FaultProxy.Mode.PASS));
    fleet.vms().forEach(SoakFault::startUnlessRunning);
    fleet.vms().forEach(Vm::thaw);
  }

  /** Waits until everything is served again, and the newest configuration is in force. */
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
    Await.until("a usage report", () -> fleet.platform.reportedRequests() > 0);
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
