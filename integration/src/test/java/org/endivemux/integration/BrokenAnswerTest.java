package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.BrokenAnswer;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.RouteKind;

/** Tests real entries before backend servers that break a share of their answers. */
final class BrokenAnswerTest {
  private static final int CALLERS = 12;
  private static final int REQUESTS_OF_EACH_CALLER = 12;
  private static final int BROKEN_PERCENT = 40;
  private static final List<RouteKind> KINDS = List.of(RouteKind.values());

  /** Guards against parts of answers, and answers with malformed fields, that callers get. */
  @Example
  void callersGetWholeAnswersOrNone() throws InterruptedException {
    try (GatewayFleet fleet = new GatewayFleet(2, 4)) {
      fleet.bypassEngineProxies();
      fleet.start();
      for (BrokenAnswer kind : BrokenAnswer.values()) {
        fleet.breakAnswers(List.of(kind), BROKEN_PERCENT);
        run(fleet, kind.name());
      }
      System.out.println("broken answers " + fleet.witness.responseCounts() + " " + fleet.logs);
      assertThat(fleet.witness.violations()).isEmpty();
      assertThat(fleet.witness.responseCounts())
          .containsKeys("SALE 200", "SALE 502", "LOOK_UP 200", "STREAM 200");
    }
  }

  private static void run(GatewayFleet fleet, String name) throws InterruptedException {
    List<Thread> callers = new ArrayList<>();
    IntStream.range(0, CALLERS)
        .mapToObj(i -> new Thread(() -> call(fleet, name + "-" + i, i), name + "-" + i))
        .forEach(callers::add);
    callers.forEach(Thread::start);
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private static void call(GatewayFleet fleet, String name, int number) {
    String entry = fleet.callersAddress(fleet.entries.get(number % fleet.entries.size()));
    try (CallerStandIn caller = new CallerStandIn(name, fleet.witness)) {
      IntStream.range(0, REQUESTS_OF_EACH_CALLER)
          .forEach(i -> caller.upload(entry, KINDS.get((number + i) % KINDS.size())));
    }
  }
}
