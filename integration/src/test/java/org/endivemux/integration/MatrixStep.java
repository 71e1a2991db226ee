package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.endivemux.model.Keys;
import org.endivemux.testing.FaultProxy.Mode;

/**
 * Steps of requests at which the matrix injects faults.
 *
 * <p>A request is held at its step from outside, by a slow backend server or by silent links.
 */
enum MatrixStep {
  SALE_CLAIMING {
    @Override
    Check hold(Cluster cluster, String key, Vm entry) {
      String id = Cluster.newIdempotencyKey();
      cluster.linksFrom(entry, Mode.SILENT_FROM_TARGET);
      return sale(cluster, key, entry, id);
    }
  },
  SALE_SENT {
    @Override
    Check hold(Cluster cluster, String key, Vm entry) {
      String id = Cluster.newIdempotencyKey();
      cluster.till.delay(1000);
      Check check = sale(cluster, key, entry, id);
      Await.until("the sale is running", () -> cluster.till.runsOf(id) == 1);
      return check;
    }
  },
  SALE_RECORDING {
    @Override
    Check hold(Cluster cluster, String key, Vm entry) {
      String id = Cluster.newIdempotencyKey();
      cluster.till.delay(300);
      Check check = sale(cluster, key, entry, id);
      Await.until("the sale is running", () -> cluster.till.runsOf(id) == 1);
      cluster.linksFrom(entry, Mode.SILENT_FROM_TARGET);
      return check;
    }
  },
  STREAM_BEFORE_FIRST_TOKEN {
    @Override
    Check hold(Cluster cluster, String key, Vm entry) {
      cluster.engineProxies.forEach(proxy -> proxy.mode(Mode.SILENT_TO_TARGET));
      return stream(key, entry, 10);
    }
  },
  STREAM_UNDER_WAY {
    @Override
    Check hold(Cluster cluster, String key, Vm entry) {
      Check check = stream(key, entry, 700);
      Await.until(
          "an engine is generating",
          () -> cluster.engines.stream().anyMatch(engine -> engine.stats().get("running") > 0));
      return check;
    }
  },
  CONFIRM_SENT {
    @Override
    Check hold(Cluster cluster, String key, Vm entry) {
      String plan = UUID.randomUUID().toString();
      Cluster.plan(entry, plan, cluster.declaration("org" + plan));
      cluster.linksFrom(entry, Mode.SILENT_FROM_TARGET);
      CompletableFuture<Http.Response> call =
          Http.callAsync(
              "POST", entry.url("/v1/plans/" + plan + "/confirm"), Cluster.OPERATOR, Map.of(), "");
      return () -> checkConfirm(cluster, plan, call.join());
    }
  },
  KEY_WITHDRAWAL_SENT {
    @Override
    Check hold(Cluster cluster, String key, Vm entry) {
      String withdrawn = cluster.key("honey");
      cluster.linksFrom(entry, Mode.SILENT_FROM_TARGET);
      CompletableFuture<Http.Response> call =
          Http.callAsync(
              "DELETE",
              entry.url("/v1/keys/" + Keys.digest(withdrawn)),
              Cluster.OPERATOR,
              Map.of(),
              "");
      return () -> checkWithdrawal(cluster, withdrawn, call.join());
    }
  },
  REPORT_SENT {
    @Override
    Check hold(Cluster cluster, String key, Vm entry) {
      IntStream.range(0, 3).forEach(i -> Cluster.chat(entry, key, 1, false));
      cluster.platformProxy.mode(Mode.SILENT_FROM_TARGET);
      long before = cluster.platform.usageCalls();
      Await.until("a report arrives", () -> cluster.platform.usageCalls() > before);
      return () -> {
        int after = cluster.platform.windowCount();
        Await.until("usage reports continue", () -> cluster.platform.windowCount() > after);
      };
    }
  };

  private static final Set<String> RETRYABLE_REASONS = Set.of("STALE_STATE", "CONTROL_UNAVAILABLE");

  /** Checks what must hold after all faults have been removed. */
  interface Check {
    void run();
  }

  /** Starts a request, holds it at this step and returns the check to run after recovery. */
  abstract Check hold(Cluster cluster, String key, Vm entry);

  /**
   * Repeats a request while the VM reports stale state or unavailable control, which is allowed
   * just after a fault; returns any other response unchanged.
   */
  private static Http.Response retryUntilDefinite(Supplier<Http.Response> call) {
    AtomicReference<Http.Response> last = new AtomicReference<>();
    Await.until(
        "a definite response",
        () -> {
          last.set(call.get());
          return !RETRYABLE_REASONS.contains(last.get().reason());
        });
    return last.get();
  }

  private static Check sale(Cluster cluster, String key, Vm entry, String id) {
    CompletableFuture<Http.Response> call = Cluster.saleAsync(entry, key, id);
    return () -> checkSale(cluster, key, id, call.join());
  }

  private static void checkSale(Cluster cluster, String key, String id, Http.Response first) {
    boolean notRun = first.status() >= 400 && first.executionStatus().equals("not run");
    if (notRun) {
      assertThat(cluster.till.runsOf(id)).as("a request refused as not run did not run").isZero();
    }
    Http.Response retried =
        retryUntilDefinite(() -> Cluster.sale(cluster.vms.get(0), key, id, "{}"));
    if (first.status() == 200) {
      assertThat(retried.body()).isEqualTo(first.body());
      assertThat(retried.status()).isEqualTo(200);
    }
    assertThat(cluster.till.runsOf(id)).as("a sale runs at most once").isLessThanOrEqualTo(1);
    if (retried.status() == 200) {
      assertThat(cluster.till.runsOf(id)).isEqualTo(1);
    }
  }

  private static Check stream(String key, Vm entry, int tokens) {
    CompletableFuture<Http.Response> call =
        CompletableFuture.supplyAsync(() -> Cluster.chat(entry, key, tokens, true));
    return () -> {
      Http.Response response = call.join();
      if (response.status() == 200) {
        assertThat(response.body()).contains("w" + tokens + " ").contains("data: [DONE]");
        IntStream.rangeClosed(1, tokens)
            .forEach(i -> assertThat(response.body()).containsOnlyOnce("\"w" + i + " \""));
      }
    };
  }

  private static void checkConfirm(Cluster cluster, String plan, Http.Response first) {
    Http.Response retried = retryUntilDefinite(() -> Cluster.confirm(cluster.vms.get(1), plan));
    assertThat(retried.status()).as(retried.body()).isEqualTo(200);
    if (first.status() == 200) {
      assertThat(retried.json().path("version")).isEqualTo(first.json().path("version"));
    }
    assertThat(cluster.status().path("version").asInt())
        .isEqualTo(retried.json().path("version").asInt());
  }

  private static void checkWithdrawal(Cluster cluster, String withdrawn, Http.Response first) {
    if (first.status() != 200) {
      assertThat(retryUntilDefinite(() -> Cluster.withdraw(cluster.vms.get(1), withdrawn)).status())
          .isEqualTo(200);
    }
    cluster.vms.forEach(
        vm ->
            assertThat(retryUntilDefinite(() -> Cluster.chat(vm, withdrawn, 1, false)).reason())
                .isEqualTo("KEY_WITHDRAWN"));
  }
}
