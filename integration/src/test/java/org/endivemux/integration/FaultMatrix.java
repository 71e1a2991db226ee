package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.endivemux.testing.FaultProxy;
import org.endivemux.testing.FaultProxy.Mode;

/** Injects faults at steps of requests on one cluster, removes the faults and checks invariants. */
final class FaultMatrix implements AutoCloseable {
  private static final Duration FAULT_DURATION = Duration.ofMillis(1500);

  private final Cluster cluster = Cluster.started();
  private final String key = cluster.key("eggs");
  private final Random random;

  FaultMatrix(long seed) {
    this.random = new Random(seed);
  }

  /** A cell of the matrix: a step and the faults that are injected at it. */
  record Cell(MatrixStep step, List<MatrixFault> faults) {
    @Override
    public String toString() {
      return step + " x " + faults;
    }
  }

  /** Returns every combination of a step with a single fault. */
  static List<Cell> singles() {
    return Arrays.stream(MatrixStep.values())
        .flatMap(
            step ->
                Arrays.stream(MatrixFault.values()).map(fault -> new Cell(step, List.of(fault))))
        .toList();
  }

  /** Returns cells with two faults, chosen by the seed. */
  List<Cell> pairs(int count) {
    return Stream.generate(this::pair).limit(count).toList();
  }

  private Cell pair() {
    List<MatrixFault> faults = List.of(MatrixFault.values());
    return new Cell(pick(List.of(MatrixStep.values())), List.of(pick(faults), pick(faults)));
  }

  private <T> T pick(List<T> items) {
    return items.get(random.nextInt(items.size()));
  }

  /** Runs one cell; fails if an invariant is violated. */
  void run(Cell cell) {
    Vm leader = cluster.leader();
    Vm entry = random.nextInt(4) == 0 ? leader : cluster.other(leader);
    MatrixStep.Check check = cell.step().hold(cluster, key, entry);
    cell.faults().forEach(fault -> fault.inject(cluster, entry, leader));
    long injectedAt = System.nanoTime();
    Await.until(
        "the fault has lasted", () -> System.nanoTime() - injectedAt > FAULT_DURATION.toNanos());
    heal();
    check.run();
    assertThat(cluster.platform.violations()).isEmpty();
    assertThat(cluster.till.stats().get("doubles")).isZero();
  }

  private void heal() {
    cluster.allLinks(proxy -> proxy.mode(Mode.PASS));
    Stream.concat(
            cluster.engineProxies.stream(), Stream.of(cluster.tillProxy, cluster.platformProxy))
        .forEach((FaultProxy proxy) -> proxy.mode(Mode.PASS));
    cluster.till.delay(0);
    cluster.vms.stream().filter(Vm::isRunning).forEach(Vm::thaw);
    cluster.vms.stream().filter(vm -> !vm.isRunning()).forEach(Vm::start);
    cluster.awaitReady();
    Await.until("the cluster has three voters again", this::hasThreeVoters);
  }

  private boolean hasThreeVoters() {
    var members = cluster.status().path("members");
    return members.size() == 3
        && members.findValues("voter").stream().allMatch(voter -> voter.asBoolean());
  }

  @Override
  public void close() {
    cluster.close();
  }
}
