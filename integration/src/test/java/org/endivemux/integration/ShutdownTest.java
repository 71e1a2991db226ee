package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Tests that VMs and backend servers leave without interrupting requests. */
final class ShutdownTest {
  private static final Duration MAX_DELAY = Duration.ofSeconds(5);

  @Example
  void gracefulShutdownCompletesRequestsInFlight() {
    try (Cluster cluster = Cluster.started(3, 1)) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(3);
      cluster.till.delay(2500);
      CompletableFuture<Http.Response> stream =
          CompletableFuture.supplyAsync(() -> Cluster.chat(vm, key, 1200, true));
      CompletableFuture<Http.Response> sale =
          Cluster.saleAsync(vm, key, Cluster.newIdempotencyKey());
      Await.until("the sale is running", () -> cluster.till.stats().get("runs") == 1);
      vm.terminate();
      Await.until(
          "the entry is no longer listed",
          () ->
              !Http.call("GET", cluster.vms.get(0).url("/v1/entries"), "", Map.of(), "")
                  .body()
                  .contains("vm4"));
      assertThat(sale.join().status()).isEqualTo(200);
      Http.Response completed = stream.join();
      assertThat(completed.body()).contains("w1200 ").contains("data: [DONE]");
      assertThat(vm.awaitExit()).isEqualTo(143);
      assertThat(vm.logText()).contains("event=stopped");
    }
  }

  @Example
  void leavingBackendServerGetsNoNewRequests() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      long start = System.nanoTime();
      cluster.platform.reclaim(List.of("engine-1"));
      Await.until(
          "no VM uses the leaving server",
          () -> cluster.vms.stream().allMatch(vm -> avoids(cluster, vm, key)));
      assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_DELAY);
      Http.Response all =
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
