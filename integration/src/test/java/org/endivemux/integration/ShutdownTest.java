package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Proves that leaving VMs and backend servers cut nothing. */
final class ShutdownTest {
  private static final Duration BOUND = Duration.ofSeconds(5);

  @Example
  void gracefulShutdownCutsNoRequestInFlight() {
    try (Cluster cluster = Cluster.started(3, 1)) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(3);
      cluster.till.delay(2500);
      CompletableFuture<Http.Answer> stream =
          CompletableFuture.supplyAsync(() -> Cluster.chat(vm, key, 1200, true));
      CompletableFuture<Http.Answer> sale = Cluster.saleAsync(vm, key, Cluster.newIdempotencyKey());
      Await.until("the sale runs", () -> cluster.till.stats().get("runs") == 1);
      vm.terminate();
      Await.until(
          "it is not named any more",
          () ->
              !Http.call("GET", cluster.vms.get(0).url("/v1/entries"), "", Map.of(), "")
                  .body()
                  .contains("vm4"));
      assertThat(sale.join().status()).isEqualTo(200);
      Http.Answer whole = stream.join();
      assertThat(whole.body()).contains("w1200 ").contains("data: [DONE]");
      assertThat(vm.waitForEnd()).isEqualTo(143);
      assertThat(vm.logText()).contains("event=stopped");
    }
  }

  @Example
  void leavingBackendServerGetsNoNewWork() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      long start = System.nanoTime();
      cluster.platform.reclaim(List.of("engine-1"));
      Await.until(
          "every VM knows", () -> cluster.vms.stream().allMatch(vm -> avoids(cluster, vm, key)));
      assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(BOUND);
      Http.Answer all =
          Http.call(
              "POST",
              cluster.vms.get(0).url("/v1/backends/leaving"),
              Cluster.OPERATOR,
              Map.of(),
              "{\"ids\":[\"engine-2\"],\"leaving\":true}");
      assertThat(all.json().path("in_force").asBoolean()).isTrue();
      assertThat(Cluster.chat(cluster.vms.get(1), key, 1, false).reason()).isEqualTo("NO_CAPACITY");
    }
  }

  private static boolean avoids(Cluster cluster, Vm vm, String key) {
    long before = cluster.engines.get(0).stats().get("requests");
    IntStream.range(0, 3).forEach(i -> Cluster.chat(vm, key, 1, false));
    return cluster.engines.get(0).stats().get("requests") == before;
  }
}
