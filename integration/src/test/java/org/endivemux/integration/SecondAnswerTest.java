package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.RouteKind;
import org.endivemux.platform.standin.SecondAnswer;

/**
 * Tests real entries before backend servers that answer most requests twice, the second time late.
 */
final class SecondAnswerTest {
  private static final int CALLERS = 20;
  private static final int REQUESTS_OF_EACH_CALLER = 15;
  private static final int READS_PER_REQUESTS = 3;

  /**
   * Guards against responses that are made up of parts of two, and against sales whose answer is
   * lost because a connection carried more than that answer.
   */
  @Example
  void eachCallerGetsWhatItsServerAnswered() throws InterruptedException {
    try (GatewayFleet fleet = new GatewayFleet(2, 4)) {
      fleet.bypassEngineProxies();
      fleet.start();
      fleet.witness.requireEveryAnswer();
      for (SecondAnswer kind : SecondAnswer.values()) {
        run(fleet, kind.name(), List.of(kind));
      }
      run(fleet, "ANY", List.of(SecondAnswer.values()));
      List<String> violations = fleet.witness.violations();
      print(fleet, violations);
      assertThat(violations).isEmpty();
    }
  }

  private static void run(GatewayFleet fleet, String name, List<SecondAnswer> kinds)
      throws InterruptedException {
    // Connections may have bytes left that belong to other kinds.
    fleet.engines.forEach(EngineStandIn::closeConnections);
    try (CallerStandIn first = new CallerStandIn("first-" + name, fleet.witness)) {
      fleet.entries.forEach(
          entry ->
              Await.until(
                  "sales at " + entry.name,
                  () -> first.call(fleet.callersAddress(entry), RouteKind.SALE).isServed()));
    }
    fleet.engines.forEach(engine -> engine.answerTwice(kinds));
    List<Thread> callers = new ArrayList<>();
    IntStream.range(0, CALLERS)
        .mapToObj(i -> new Thread(() -> call(fleet, name + "-" + i, i), name + "-" + i))
        .forEach(callers::add);
    callers.forEach(Thread::start);
    for (Thread caller : callers) {
      caller.join();
    }
    fleet.engines.forEach(engine -> engine.mode(EngineStandIn.Mode.HEALTHY));
  }

  private static void call(GatewayFleet fleet, String name, int number) {
    String entry = fleet.callersAddress(fleet.entries.get(number % fleet.entries.size()));
    try (CallerStandIn caller = new CallerStandIn(name, fleet.witness)) {
      for (int i = 0; i < REQUESTS_OF_EACH_CALLER; i++) {
        boolean isRead = (number + i) % READS_PER_REQUESTS == 0;
        caller.call(entry, isRead ? RouteKind.LOOK_UP : RouteKind.SALE);
      }
    }
  }

  private static void print(GatewayFleet fleet, List<String> violations) {
    System.out.println("second answers " + fleet.witness.responseCounts() + " " + fleet.logs);
    Arrays.stream(SecondAnswer.values()).map(Enum::name).forEach(name -> print(name, violations));
    print("ANY", violations);
  }

  private static void print(String name, List<String> violations) {
    List<String> ofKind =
        violations.stream().filter(violation -> violation.contains(" " + name + "-")).toList();
    long lost = ofKind.stream().filter(violation -> violation.contains("was lost")).count();
    System.out.printf(
        Locale.ROOT,
        "second answers kind=%s requests=%d wrong=%d lost=%d%n",
        name,
        CALLERS * REQUESTS_OF_EACH_CALLER,
        ofKind.size() - lost,
        lost);
  }
}
