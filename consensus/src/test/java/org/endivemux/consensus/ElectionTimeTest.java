package org.endivemux.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.endivemux.consensus.ClusterSimulation.MILLI;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests how long a group of voters is without a lease after its leader has ended. */
final class ElectionTimeTest {
  private static final long SECOND = 1000 * MILLI;
  private static final long STEP = 10 * MILLI;

  /** From then on, changes have to be acknowledged in the usual time again. */
  private static final long STABLE_AGAIN = 3 * SECOND;

  /** Guards against elections after which a change is not acknowledged in time any more. */
  @Property(tries = 300, seed = "20261205")
  void anotherLeaderHoldsTheLeaseInTime(@ForAll long seed) {
    ClusterSimulation cluster = new ClusterSimulation(3, seed);
    cluster.runFor(10 * SECOND);
    cluster.crash(cluster.leader().orElseThrow().number);
    long waited = 0;
    while (cluster.leader().isEmpty() && waited <= STABLE_AGAIN) {
      cluster.runFor(STEP);
      waited += STEP;
    }
    assertThat(waited).isLessThanOrEqualTo(STABLE_AGAIN);
  }
}
