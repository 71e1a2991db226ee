package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.Example;

/** Sends good and bad requests along the whole path. */
final class PathTest {
  @Example
  void goodRequestsAreAnsweredAndBadOnesRefusedBeforeAnyBackendServer() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(1);
      streamedAnswerIsWhole(vm, key);
      wholeAnswerHasTheRequestId(vm, key);
      saleRunsOnce(cluster, key);
      badInputIsRefused(cluster, vm, key);
      entriesAreNamed(cluster);
      refusalsAreCounted(vm);
      noKeyReachedABackendServer(cluster);
    }
  }

  private static void streamedAnswerIsWhole(Vm vm, String key) {
    Http.Answer answer = Cluster.chat(vm, key, 5, true);
    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.body()).contains("w1 ", "w5 ", "data: [DONE]").doesNotContain("w6");
  }

  private static void wholeAnswerHasTheRequestId(Vm vm, String key) {
    Http.Answer answer = Cluster.chat(vm, key, 3, false);
    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.body()).contains("w1 w2 w3");
    assertThat(answer.header("x-request-id")).startsWith(vm.name + "-");
  }

  private static void saleRunsOnce(Cluster cluster, String key) {
    String id = Cluster.newIdempotencyKey();
    Http.Answer first = Cluster.sale(cluster.vms.get(0), key, id, "{}");
    Http.Answer again = Cluster.sale(cluster.vms.get(2), key, id, "{}");
    assertThat(first.status()).isEqualTo(200);
    assertThat(again.body()).isEqualTo(first.body());
    assertThat(again.header("idempotent-replayed")).isEqualTo("true");
    assertThat(cluster.till.runsOf(id)).isEqualTo(1);
  }

  private static void badInputIsRefused(Cluster cluster, Vm vm, String key) {
    long requests = cluster.engines.stream().mapToLong(e -> e.stats().get("requests")).sum();
    long runs = cluster.till.stats().get("runs");
    String chat = Cluster.chatBody(1, false);
    refused(vm, "POST", "/v1/nothing", key, Map.of(), chat, 404, "UNKNOWN_ROUTE");
    refused(vm, "GET", "/v1/chat/completions", key, Map.of(), "", 405, "METHOD_NOT_ALLOWED");
    refused(vm, "POST", "/v1/chat/completions", "", Map.of(), chat, 401, "NO_KEY");
    refused(vm, "POST", "/v1/chat/completions", "emx_x", Map.of(), chat, 401, "WRONG_KEY");
    refused(vm, "POST", "/v1/chat/completions", key, Map.of(), "no json", 400, "MALFORMED_BODY");
    refused(vm, "POST", "/v1/chat/completions", key, Map.of(), "{}", 400, "MALFORMED_BODY");
    refused(
        vm,
        "POST",
        "/v1/chat/completions",
        key,
        Map.of(),
        chat.replace("assistant", "other"),
        404,
        "UNKNOWN_MODEL");
    refused(
        vm,
        "POST",
        "/v1/chat/completions",
        key,
        Map.of("X-Endivemux-Class", "sale"),
        chat,
        400,
        "UNKNOWN_CLASS");
    refused(
        vm,
        "POST",
        "/v1/chat/completions",
        key,
        Map.of(),
        "\"" + "x".repeat(2 << 20) + "\"",
        413,
        "BODY_TOO_LARGE");
    refused(vm, "GET", "/services/none/x", key, Map.of(), "", 404, "UNKNOWN_SERVICE");
    refused(vm, "POST", "/services/till/x", key, Map.of(), "", 400, "NO_IDEMPOTENCY_KEY");
    refused(
        vm,
        "POST",
        "/services/till/x",
        key,
        Map.of("Idempotency-Key", "abc"),
        "",
        400,
        "IDEMPOTENCY_KEY_MALFORMED");
    refused(vm, "GET", "/services/till/x?k=" + key, key, Map.of(), "", 400, "KEY_IN_REQUEST");
    refused(vm, "GET", "/v1/status", key, Map.of(), "", 403, "ROLE_NOT_ALLOWED");
    refused(
        vm, "POST", "/v1/plans", Cluster.OPERATOR, Map.of(), "{\"plan\":1}", 400, "MALFORMED_BODY");
    Map<String, String> tooLong = Map.of("X-Long", "x".repeat(40_000));
    refused(vm, "GET", "/v1/entries", "", tooLong, "", 431, "HEADERS_TOO_LARGE");
    assertThat(cluster.engines.stream().mapToLong(e -> e.stats().get("requests")).sum())
        .isEqualTo(requests);
    assertThat(cluster.till.stats().get("runs")).isEqualTo(runs);
  }

  private static void refused(
      Vm vm,
      String method,
      String path,
      String key,
      Map<String, String> headers,
      String body,
      int status,
      String reason) {
    Http.Answer answer = Http.call(method, vm.url(path), key, headers, body);
    assertThat(answer.status()).as(reason + " " + answer.body()).isEqualTo(status);
    assertThat(answer.reason()).isEqualTo(reason);
    assertThat(answer.ran()).isEqualTo("not run");
  }

  private static void entriesAreNamed(Cluster cluster) {
    Http.Answer answer = Http.call("GET", cluster.vms.get(0).url("/v1/entries"), "", Map.of(), "");
    assertThat(answer.json().path("entries")).hasSize(3);
    assertThat(answer.json().path("lifetime_seconds").asInt()).isEqualTo(1);
  }

  private static void refusalsAreCounted(Vm vm) {
    String metrics = Http.call("GET", vm.url("/metrics"), "", Map.of(), "").body();
    assertThat(metrics)
        .contains("endivemux_refusals_WRONG_KEY_total 1")
        .contains("endivemux_refusals_OUTCOME_LOST_total 0")
        .contains("endivemux_retries_STREAM_RESUMED_total 0");
  }

  private static void noKeyReachedABackendServer(Cluster cluster) {
    assertThat(cluster.till.stats().get("keysSeen")).isZero();
    assertThat(cluster.engines).allSatisfy(e -> assertThat(e.stats().get("keysSeen")).isZero());
  }
}
