package org.endivemux.integration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.Keys;
import org.endivemux.testing.FaultProxy.Mode;

/**
 * Measures latency and throughput of the control plane. Not part of CI; run by bin/measure-control.
 */
final class ControlBench {
  private static final int LINK_MILLIS = 5;
  private static final int CALLERS = 64;
  private static final long LOAD_DURATION_NANOS = Duration.ofSeconds(6).toNanos();

  @Example
  void print() {
    try (Cluster cluster = Cluster.started(3, 4)) {
      cluster.allLinks(link -> link.degrade(LINK_MILLIS, 1, 0));
      List<Long> took = IntStream.range(0, 20).mapToObj(i -> confirm(cluster, i)).sorted().toList();
      System.out.printf(
          "CONTROL confirm to in force, 7 processes, 5 ms links: median %d ms, longest %d ms of %d%n",
          took.get(10), took.get(19), took.size());
      claims(cluster, "three voters, 5 ms links");
      cluster.allLinks(link -> link.degrade(0, 0, 0));
      claims(cluster, "three voters, no delay");
      IntStream.range(0, 3).forEach(i -> measureLeaderChange(cluster, "kill", Vm::kill));
      IntStream.range(0, 3)
          .forEach(
              i ->
                  measureLeaderChange(cluster, "silent cut", vm -> cluster.links(vm, Mode.SILENT)));
      restart(cluster);
    }
    try (Cluster cluster = Cluster.started(1, 0)) {
      claims(cluster, "one voter");
    }
  }

  private static long confirm(Cluster cluster, int i) {
    String plan = "plan" + i;
    Cluster.plan(cluster.vms.get(0), plan, cluster.declaration("org" + i));
    long start = System.nanoTime();
    Http.Response response = Cluster.confirm(cluster.vms.get(0), plan);
    if (!response.json().path("in_force").asBoolean()) {
      System.out.println("CONTROL not in force: " + response.body());
    }
    return (System.nanoTime() - start) / 1_000_000;
  }

  private static void claims(Cluster cluster, String what) {
    String key = cluster.key("eggs");
    AtomicInteger done = new AtomicInteger();
    load(cluster, key, LOAD_DURATION_NANOS / 2, new AtomicInteger());
    long start = System.nanoTime();
    load(cluster, key, LOAD_DURATION_NANOS, done);
    double seconds = (System.nanoTime() - start) / 1e9;
    System.out.printf(
        "CONTROL sales (claim and outcome each synced), %s: %.0f a second, %d callers%n",
        what, done.get() / seconds, CALLERS);
  }

  private static void load(Cluster cluster, String key, long nanos, AtomicInteger done) {
    long end = System.nanoTime() + nanos;
    List<CompletableFuture<Void>> callers =
        IntStream.range(0, CALLERS).mapToObj(i -> sell(cluster, key, i, end, done)).toList();
    callers.forEach(CompletableFuture::join);
  }

  private static CompletableFuture<Void> sell(
      Cluster cluster, String key, int caller, long end, AtomicInteger done) {
    if (System.nanoTime() > end) {
      return CompletableFuture.completedFuture(null);
    }
    Vm vm = cluster.vms.get(caller % cluster.vms.size());
    return Cluster.saleAsync(vm, key, Cluster.newIdempotencyKey())
        .thenComposeAsync(
            response -> {
              done.addAndGet(response.status() == 200 ? 1 : 0);
              return sell(cluster, key, caller, end, done);
            });
  }

  private static void measureLeaderChange(
      Cluster cluster, String fault, java.util.function.Consumer<Vm> inject) {
    Vm oldLeader = cluster.leader();
    Vm observer = cluster.vms.get(6);
    inject.accept(oldLeader);
    long start = System.nanoTime();
    Await.until("another VM is the leader", () -> hasNewLeader(observer, oldLeader));
    System.out.printf(
        "CONTROL new leader answers after a %s: %d ms%n",
        fault, (System.nanoTime() - start) / 1_000_000);
    cluster.allLinks(link -> link.mode(Mode.PASS));
    cluster.vms.stream().filter(vm -> !vm.isRunning()).forEach(Vm::start);
    cluster.awaitReady();
  }

  private static boolean hasNewLeader(Vm observer, Vm oldLeader) {
    String leader =
        Http.call("GET", observer.url("/v1/status"), Cluster.OPERATOR, Map.of(), "")
            .json()
            .path("leader")
            .asText();
    return !leader.isEmpty() && !leader.equals(oldLeader.name);
  }

  private static void restart(Cluster cluster) {
    IntStream.range(0, 1000)
        .forEach(
            i -> {
              String body =
                  "{\"digest\":\"%s\",\"organisation\":\"eggs\",\"role\":\"CALLER\",\"label\":\"b\"}"
                      .formatted(Keys.digest("b" + i));
              Http.call(
                  "POST", cluster.vms.get(0).url("/v1/keys"), Cluster.OPERATOR, Map.of(), body);
            });
    Vm vm = cluster.other(cluster.leader());
    vm.kill();
    vm.start();
    Duration took = Await.timed("ready", () -> Cluster.isReady(vm));
    System.out.printf(
        "CONTROL restart after 1,000 further changes: ready in %d ms, %.0f MB resident%n",
        took.toMillis(), FleetBench.rssMegabytes(vm));
  }
}
