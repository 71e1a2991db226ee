package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.function.LongUnaryOperator;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.routing.fleet.HedgePolicy.Decision;

/** Tests which requests are hedged, with simulated first-byte times. */
final class HedgePolicyTest {
  private static final String ROUTE = "r";
  private static final double SHARE = 0.1;
  private static final int REQUESTS = 20_000;
  private static final int SERVERS = 20;
  private static final long FAST = 100_000_000;
  private static final long SLOW = 10 * FAST;

  private final Random random = new Random(11);

  /** Guards against a slow server that decides the slowest answers of a route. */
  @Example
  void oneSlowServerOfTwentyNoLongerDecidesTheSlowestAnswers() {
    LongUnaryOperator times = request -> random.nextInt(SERVERS) == 0 ? spread(SLOW) : spread(FAST);
    Run run = run(new HedgePolicy(SHARE, 0.9), times);
    assertThat(run.slowerThan(5 * FAST)).isLessThan(REQUESTS / 100);
    assertThat(run.hedges).isBetween(REQUESTS / 50, (int) (SHARE * REQUESTS));
    Run byDefault = run(new HedgePolicy(SHARE, 0.95), times);
    assertThat(byDefault.slowerThan(5 * FAST)).isLessThan(REQUESTS / 50);
  }

  /** Guards against extra work at servers that are all slow already. */
  @Example
  void serversThatAreAllSlowGetNoHedges() {
    assertThat(run(new HedgePolicy(SHARE, 0.95), request -> spread(SLOW)).hedges).isZero();
  }

  /** Guards against a surge of hedges when all servers become slow at once. */
  @Example
  void serversThatAllBecomeSlowAtOnceGetAFewHedges() {
    LongUnaryOperator times = request -> spread(request < REQUESTS / 2 ? FAST : SLOW);
    assertThat(run(new HedgePolicy(SHARE, 0.95), times).hedges).isLessThanOrEqualTo(5);
  }

  /** Guards against sums over the operator's limit when each of many entries sees few requests. */
  @Example
  void hedgesOfManyEntriesStayWithinTheShareOfAllRequestsAlsoAfterRestarts() {
    int entries = 91;
    int requestsUntilRestart = 37;
    long hedges =
        IntStream.range(0, entries * 5)
            .map(entry -> hedgesTaken(new HedgePolicy(0.05, 0.95), requestsUntilRestart))
            .sum();
    assertThat(hedges)
        .isPositive()
        .isLessThanOrEqualTo((long) (0.05 * entries * 5 * requestsUntilRestart));
  }

  /** Guards against a budget saved up in hours without hedges and spent in one overload. */
  @Example
  void unusedBudgetIsNotSavedUp() {
    HedgePolicy policy = new HedgePolicy(SHARE, 0.95);
    IntStream.range(0, REQUESTS).forEach(i -> policy.requested());
    assertThat(IntStream.range(0, 100).filter(i -> policy.tryTake()).count()).isEqualTo(2);
  }

  @Example
  void noDelayIsKnownBeforeEnoughSamples() {
    HedgePolicy policy = new HedgePolicy(SHARE, 0.95);
    IntStream.range(0, 39).forEach(i -> policy.recordFirstByte(ROUTE, FAST, false));
    assertThat(policy.delayNanos(ROUTE)).isEmpty();
    policy.recordFirstByte(ROUTE, FAST, false);
    assertThat(policy.delayNanos(ROUTE)).hasValue(FAST * 3 / 2);
    assertThat(policy.delayNanos("other")).as("another route has its own times").isEmpty();
  }

  private static int hedgesTaken(HedgePolicy policy, int requests) {
    return (int)
        IntStream.range(0, requests)
            .peek(i -> policy.requested())
            .filter(i -> policy.tryTake())
            .count();
  }

  private long spread(long typical) {
    return (long) (typical * (0.8 + 0.4 * random.nextDouble()));
  }

  private static Run run(HedgePolicy policy, LongUnaryOperator times) {
    Run run = new Run();
    for (int i = 0; i < REQUESTS; i++) {
      policy.requested();
      long delay = policy.delayNanos(ROUTE).orElse(Long.MAX_VALUE);
      long took = times.applyAsLong(i);
      boolean isLate = took > delay;
      if (isLate && policy.late(ROUTE) == Decision.ALLOWED && policy.tryTake()) {
        run.hedges++;
        took = Math.min(took, delay + times.applyAsLong(i));
      }
      policy.recordFirstByte(ROUTE, took, isLate);
      run.took[i] = took;
    }
    return run;
  }

  /** Holds what the callers of one simulated route saw. */
  private static final class Run {
    private final long[] took = new long[REQUESTS];
    private int hedges;

    int slowerThan(long nanos) {
      return (int) IntStream.range(0, REQUESTS).filter(i -> took[i] > nanos).count();
    }
  }
}
