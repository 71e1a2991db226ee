package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Tests that what was withdrawn stays withdrawn after processes have restarted. */
final class RestartTest {
  @Example
  void withdrawnKeyAndLeavingServerStayUnusedAfterAllProcessesRestart() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String withdrawn = cluster.key("honey");
      assertThat(Cluster.withdraw(cluster.vms.get(0), withdrawn).status()).isEqualTo(200);
      leave(cluster, "engine-1");
      long before = cluster.engines.get(0).stats().get("requests");
      cluster.vms.forEach(Vm::kill);
      cluster.vms.forEach(Vm::start);
      cluster.awaitReady();
      cluster.vms.forEach(vm -> assertRestored(vm, key, withdrawn));
      assertThat(cluster.engines.get(0).stats().get("requests")).isEqualTo(before);
    }
  }

  @Example
  void voterThatMissedAWithdrawalDoesNotUndoItAfterARestart() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String withdrawn = cluster.key("honey");
      Vm absent = cluster.other(cluster.leader());
      absent.kill();
      assertThat(Cluster.withdraw(cluster.leader(), withdrawn).status()).isEqualTo(200);
      leave(cluster, "engine-1");
      long before = cluster.engines.get(0).stats().get("requests");
      absent.start();
      cluster.awaitReady();
      cluster.vms.forEach(vm -> assertRestored(vm, key, withdrawn));
      assertThat(cluster.engines.get(0).stats().get("requests")).isEqualTo(before);
    }
  }

  private static void leave(Cluster cluster, String server) {
    Http.Response response =
        Http.call(
            "POST",
            cluster.leader().url("/v1/backends/leaving"),
            Cluster.OPERATOR,
            Map.of(),
            "{\"ids\":[\"" + server + "\"],\"leaving\":true}");
    assertThat(response.status()).as(response.body()).isEqualTo(200);
    Await.until(
        "no VM has a request in flight at " + server,
        () -> cluster.engines.get(0).stats().get("running") == 0);
  }

  private static void assertRestored(Vm vm, String key, String withdrawn) {
    assertThat(Cluster.chat(vm, withdrawn, 1, false).reason()).isEqualTo("KEY_WITHDRAWN");
    IntStream.range(0, 4)
        .mapToObj(i -> Cluster.chat(vm, key, 1, false))
        .forEach(response -> assertThat(response.status()).as(response.body()).isEqualTo(200));
  }
}
