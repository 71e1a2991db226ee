package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;

/** Tests that real processes find a prompt part on which backend servers crash. */
final class CrashingPromptTest {
  private static final int ENGINES = 8;
  private static final int CALLERS = 4;
  private static final int CALLS_UNTIL_HELD_BACK = 40;
  private static final int CALLS_HELD_BACK = 60;
  private static final int MAX_FURTHER = 3;
  private static final String SOUND_PROMPT = "a1:100,b2:60,d4:10";
  private static final String CRASHING_PROMPT = "a1:100," + EngineStandIn.CRASHING_PART + ",e5:10";

  private final AtomicInteger crashes = new AtomicInteger();
  private volatile boolean stopped;

  /** Guards against requests with one prompt part that crash one engine after the other. */
  @Example
  void promptPartOnWhichServersCrashIsHeldBackAtAllEntries() throws InterruptedException {
    try (GatewayFleet fleet = new GatewayFleet(2, ENGINES)) {
      fleet.bypassEngineProxies();
      replaceCrashedEngines(fleet);
      fleet.start();
      List<Thread> callers = startSoundCallers(fleet);
      try (CallerStandIn caller = new CallerStandIn("crash", fleet.witness)) {
        Await.until(
            "five servers have crashed",
            () -> {
              sendCrashingPrompts(fleet, caller, 1);
              return crashes.get() >= 5;
            });
        sendCrashingPrompts(fleet, caller, CALLS_UNTIL_HELD_BACK);
        int before = crashes.get();
        sendCrashingPrompts(fleet, caller, CALLS_HELD_BACK);
        assertThat(crashes.get() - before).as("further crashes").isLessThanOrEqualTo(MAX_FURTHER);
        fleet.entries.forEach(
            entry ->
                Await.until(
                    "a sound prompt is served at " + entry.name,
                    () ->
                        caller
                            .callWithPrompt(fleet.callersAddress(entry), SOUND_PROMPT)
                            .isServed()));
      } finally {
        stopped = true;
        for (Thread thread : callers) {
          thread.join(Duration.ofSeconds(30).toMillis());
        }
      }
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  /** Sends prompts with the crashing part to all entries in turn, about ten a second. */
  private static void sendCrashingPrompts(GatewayFleet fleet, CallerStandIn caller, int count) {
    for (int i = 0; i < count; i++) {
      Vm entry = fleet.entries.get(i % fleet.entries.size());
      caller.callWithPrompt(fleet.callersAddress(entry), CRASHING_PROMPT);
      LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
    }
  }

  private void replaceCrashedEngines(GatewayFleet fleet) {
    IntStream.range(0, ENGINES).forEach(i -> replaceWhenCrashed(fleet, i));
  }

  private void replaceWhenCrashed(GatewayFleet fleet, int index) {
    fleet
        .engines
        .get(index)
        .onCrash(
            () -> {
              crashes.incrementAndGet();
              new Thread(() -> replace(fleet, index), "replace-" + index).start();
            });
  }

  private void replace(GatewayFleet fleet, int index) {
    LockSupport.parkNanos(Duration.ofMillis(700).toNanos());
    synchronized (this) {
      if (!stopped) {
        fleet.replaceEngine(index);
        replaceWhenCrashed(fleet, index);
      }
    }
  }

  private List<Thread> startSoundCallers(GatewayFleet fleet) {
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      String name = "sound" + i;
      String entry = fleet.callersAddress(fleet.entries.get(i % 2));
      callers.add(new Thread(() -> callUntilStopped(fleet, name, entry), name));
    }
    callers.forEach(Thread::start);
    return callers;
  }

  private void callUntilStopped(GatewayFleet fleet, String name, String entry) {
    try (CallerStandIn caller = new CallerStandIn(name, fleet.witness)) {
      while (!stopped) {
        caller.callWithPrompt(entry, SOUND_PROMPT);
        LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
      }
    }
  }
}
