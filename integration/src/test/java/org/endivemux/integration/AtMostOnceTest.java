package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import net.jqwik.api.Example;
import org.endivemux.model.IdempotencyTime;
import org.endivemux.testing.FaultProxy.Mode;

/** Tests that a sale runs at most once and that errors state correctly whether it ran. */
final class AtMostOnceTest {
  /** Longer than the cluster's timeout for the first byte. */
  private static final long FROZEN_MILLIS = 4500;

  @Example
  void reusedKeyWithAnotherBodyAndExpiredKeysAreRefused() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(0);
      String id = Cluster.newIdempotencyKey();
      assertThat(Cluster.sale(vm, key, id, "{\"eggs\":1}").status()).isEqualTo(200);
      assertThat(Cluster.sale(vm, key, id, "{\"eggs\":2}").reason())
          .isEqualTo("IDEMPOTENCY_KEY_REUSED");
      long twoDaysAgo = System.currentTimeMillis() - 48L * 3600 * 1000;
      String expiredKey = IdempotencyTime.of(twoDaysAgo, 1, 2).value();
      Http.Response tooOld = Cluster.sale(vm, key, expiredKey, "{}");
      assertThat(tooOld.reason()).isEqualTo("IDEMPOTENCY_KEY_TOO_OLD");
      assertThat(tooOld.executionStatus()).isEqualTo("outcome unknown");
      assertThat(cluster.till.runsOf(expiredKey)).isZero();
      String other = cluster.key("honey");
      assertThat(Cluster.sale(vm, other, id, "{\"eggs\":2}").status())
          .as("idempotency keys are scoped to an organisation")
          .isEqualTo(200);
    }
  }

  @Example
  void requestWithLostResponseHasUnknownOutcomeAndIsNeverResent() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      cluster.till.loseResponses(true);
      Http.Response lost = Cluster.sale(cluster.vms.get(0), key, id, "{}");
      assertThat(lost.executionStatus()).isEqualTo("outcome unknown");
      cluster.till.loseResponses(false);
      Await.until(
          "the outcome is marked as unknown",
          () -> Cluster.sale(cluster.vms.get(1), key, id, "{}").reason().equals("OUTCOME_LOST"));
      assertThat(cluster.till.runsOf(id)).isEqualTo(1);
    }
  }

  @Example
  void refusedConnectionIsReportedAsNotRunAndReleasesTheClaim() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      cluster.tillProxy.close();
      Http.Response refused = Cluster.sale(cluster.vms.get(0), key, id, "{}");
      assertThat(refused.reason()).isEqualTo("BACKEND_UNREACHABLE");
      assertThat(refused.executionStatus()).isEqualTo("not run");
      assertThat(cluster.till.runsOf(id)).isZero();
      assertThat(outcomeState(cluster.vms.get(1), key, id)).isEqualTo("RELEASED");
    }
  }

  @Example
  void ownerKilledDuringASaleLeavesTheOutcomeUnknown() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      Vm owner = cluster.other(cluster.leader());
      cluster.till.delay(3000);
      CompletableFuture<Http.Response> call = Cluster.saleAsync(owner, key, id);
      Await.until("the sale is running", () -> cluster.till.runsOf(id) == 1);
      owner.kill();
      assertThat(call.join().status()).isZero();
      Vm other = cluster.other(owner);
      Await.until("the outcome is unknown", () -> outcomeState(other, key, id).equals("UNKNOWN"));
      Http.Response retried = Cluster.sale(other, key, id, "{}");
      assertThat(retried.reason()).isEqualTo("OUTCOME_LOST");
      assertThat(retried.executionStatus()).isEqualTo("outcome unknown");
      assertThat(cluster.till.runsOf(id)).isEqualTo(1);
    }
  }

  @Example
  void leaderKilledDuringASaleLosesNothing() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      Vm leader = cluster.leader();
      Vm owner = cluster.other(leader);
      cluster.till.delay(300);
      CompletableFuture<Http.Response> call = Cluster.saleAsync(owner, key, id);
      Await.until("the sale is running", () -> cluster.till.runsOf(id) == 1);
      leader.kill();
      Http.Response response = call.join();
      assertThat(response.status()).isEqualTo(200);
      Await.until("another VM is the leader", () -> cluster.leader() != leader);
      assertThat(Cluster.sale(owner, key, id, "{}").body()).isEqualTo(response.body());
      assertThat(cluster.till.runsOf(id)).isEqualTo(1);
    }
  }

  @Example
  void frozenOwnerResumesWithoutASecondRun() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      Vm leader = cluster.leader();
      Vm owner = cluster.other(leader);
      cluster.till.delay(500);
      CompletableFuture<Http.Response> call = Cluster.saleAsync(owner, key, id);
      Await.until("the sale is running", () -> cluster.till.runsOf(id) == 1);
      owner.freeze();
      Await.until(
          "the owner is considered failed", () -> outcomeState(leader, key, id).equals("UNKNOWN"));
      assertThat(Cluster.sale(leader, key, id, "{}").reason()).isEqualTo("OUTCOME_LOST");
      owner.thaw();
      assertThat(call.join().status()).isIn(200, 504, 502);
      assertThat(cluster.till.runsOf(id)).isEqualTo(1);
    }
  }

  @Example
  void disconnectedCallerDoesNotStopTheSaleAndRetriesGetItsResponse() {
    try (Cluster cluster = Cluster.startedWithPatience(1, 0)) {
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      Vm vm = cluster.vms.get(0);
      cluster.till.delay(800);
      RawCall call = RawCall.sale(vm, key, id);
      Await.until("the sale is running", () -> cluster.till.runsOf(id) == 1);
      call.close();
      Await.until("the outcome is recorded", () -> outcomeState(vm, key, id).equals("DONE"));
      assertThat(Cluster.sale(vm, key, id, "{}").status()).isEqualTo(200);
      assertThat(cluster.till.runsOf(id)).isEqualTo(1);
    }
  }

  @Example
  void responseThatArrivedWhileTheVmWasFrozenIsRecorded() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      Vm vm = cluster.vms.get(0);
      cluster.till.delay(800);
      CompletableFuture<Http.Response> call = Cluster.saleAsync(vm, key, id);
      Await.until("the sale is running", () -> cluster.till.runsOf(id) == 1);
      vm.freeze();
      assertThatThrownBy(() -> call.get(FROZEN_MILLIS, TimeUnit.MILLISECONDS))
          .isInstanceOf(TimeoutException.class);
      vm.thaw();
      assertThat(call.join().status()).isEqualTo(200);
      assertThat(outcomeState(vm, key, id)).isEqualTo("DONE");
    }
  }

  @Example
  void silentServiceTimesOutWithUnknownOutcomeAndNothingRunsWithoutAQuorum() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      Vm vm = cluster.leader();
      cluster.tillProxy.mode(Mode.SILENT_FROM_TARGET);
      Http.Response timedOut = Cluster.sale(vm, key, id, "{}");
      assertThat(timedOut.reason()).isEqualTo("BACKEND_TIMEOUT");
      assertThat(timedOut.executionStatus()).isEqualTo("outcome unknown");
      cluster.tillProxy.mode(Mode.PASS);
      cluster.vms.stream().filter(it -> it != vm).forEach(Vm::kill);
      String second = Cluster.newIdempotencyKey();
      Http.Response refused = Cluster.sale(vm, key, second, "{}");
      assertThat(refused.executionStatus()).isEqualTo("not run");
      assertThat(cluster.till.runsOf(second)).isZero();
    }
  }

  private static String outcomeState(Vm vm, String key, String id) {
    return Http.call("GET", vm.url("/v1/outcomes/" + id), key, Map.of(), "")
        .json()
        .path("state")
        .asText();
  }
}
