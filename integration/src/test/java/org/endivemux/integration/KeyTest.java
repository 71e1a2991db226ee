package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import net.jqwik.api.Example;
import org.endivemux.testing.FaultProxy.Mode;

/** Tests that withdrawn keys are refused and that entries with stale state stop serving. */
final class KeyTest {
  private static final Duration MAX_DELAY = Duration.ofSeconds(5);

  @Example
  void withdrawnKeyStopsOnOpenConnectionsAndStreams() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String validKey = cluster.key("honey");
      Vm vm = cluster.vms.get(2);
      try (RawCall stream = RawCall.chat(vm, key, Cluster.chatBody(100_000, true));
          RawCall other = RawCall.chat(vm, validKey, Cluster.chatBody(100_000, true))) {
        stream.readUntil("w2 ");
        other.readUntil("w2 ");
        long start = System.nanoTime();
        assertThat(Cluster.withdraw(cluster.vms.get(0), key).json().path("in_force").asBoolean())
            .isTrue();
        String rest = stream.readUntil("KEY_WITHDRAWN_IN_STREAM");
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_DELAY);
        assertThat(rest).contains("KEY_WITHDRAWN_IN_STREAM").doesNotContain("[DONE]");
        assertThat(other.readUntil("w9 ")).contains("w9 ");
      }
      cluster.vms.forEach(
          it -> assertThat(Cluster.chat(it, key, 1, false).reason()).isEqualTo("KEY_WITHDRAWN"));
      assertThat(Cluster.chat(vm, validKey, 1, false).status()).isEqualTo(200);
    }
  }

  @Example
  void entryPartitionedFromTheLeaderRefusesRequestsAndIsNoLongerListed() {
    try (Cluster cluster = Cluster.started(3, 1)) {
      String key = cluster.key("eggs");
      Vm entry = cluster.vms.get(3);
      Http.Response before = Cluster.chat(entry, key, 1, false);
      assertThat(before.status()).as(before.body()).isEqualTo(200);
      cluster.linksFrom(entry, Mode.SILENT);
      long start = System.nanoTime();
      Await.until(
          "the entry refuses requests",
          () -> Cluster.chat(entry, key, 1, false).reason().equals("STALE_STATE"));
      assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_DELAY);
      assertThat(Cluster.sale(entry, key, Cluster.newIdempotencyKey(), "{}").executionStatus())
          .isEqualTo("not run");
      Await.until("the entry does not list itself", () -> !entriesOf(entry).contains("\"vm4\""));
      Await.until(
          "other VMs do not list the entry",
          () -> !entriesOf(cluster.vms.get(0)).contains("\"vm4\""));
      assertThat(Cluster.withdraw(cluster.vms.get(0), key).status()).isEqualTo(200);
      cluster.linksFrom(entry, Mode.PASS);
      Await.until("the entry is ready again", () -> Cluster.isReady(entry));
      assertThat(Cluster.chat(entry, key, 1, false).reason()).isEqualTo("KEY_WITHDRAWN");
    }
  }

  @Example
  void requestIsHeldUntilTheNextProofWhenTheLastOneHasJustExpired() {
    try (Cluster cluster = Cluster.started(3, 1)) {
      String key = cluster.key("eggs");
      Vm entry = cluster.vms.get(3);
      cluster.linksFrom(entry, Mode.SILENT);
      Await.until("the entry is not ready", () -> !Cluster.isReady(entry));
      cluster.linksFrom(entry, Mode.PASS);
      Http.Response held = Cluster.chat(entry, key, 1, false);
      assertThat(held.status()).as(held.body()).isEqualTo(200);
    }
  }

  @Example
  void frozenEntryDoesNotServeFromStaleStateAfterResuming() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      Vm entry = cluster.other(cluster.leader());
      Vm operator = cluster.leader();
      entry.freeze();
      assertThat(Cluster.withdraw(operator, key).status()).isEqualTo(200);
      entry.thaw();
      Http.Response response = Cluster.chat(entry, key, 1, false);
      assertThat(response.reason()).isIn("STALE_STATE", "KEY_WITHDRAWN");
    }
  }

  private static String entriesOf(Vm vm) {
    return Http.call("GET", vm.url("/v1/entries"), "", Map.of(), "").body();
  }
}
