package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.Example;

/** Tests valid and invalid requests end to end. */
final class PathTest {
  @Example
  void validRequestsAreServedAndInvalidOnesNeverReachABackendServer() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(1);
      streamedResponseIsComplete(vm, key);
      bufferedResponseHasTheRequestId(vm, key);
      saleRunsOnce(cluster, key);
      invalidInputIsRefused(cluster, vm, key);
      entriesAreListed(cluster);
      refusalsAreCounted(vm);
      noKeyReachedABackendServer(cluster);
    }
  }

  private static void streamedResponseIsComplete(Vm vm, String key) {
    Http.Response response = Cluster.chat(vm, key, 5, true);
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.body()).contains("w1 ", "w5 ", "data: [DONE]").doesNotContain("w6");
  }

  private static void bufferedResponseHasTheRequestId(Vm vm, String key) {
    Http.Response response = Cluster.chat(vm, key, 3, false);
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.body()).contains("w1 w2 w3");
    assertThat(response.header("x-request-id")).startsWith(vm.name + "-");
  }

  private static void saleRunsOnce(Cluster cluster, String key) {
    String id = Cluster.newIdempotencyKey();
    Http.Response first = Cluster.sale(cluster.vms.get(0), key, id, "{}");
    Http.Response retried = Cluster.sale(cluster.vms.get(2), key, id, "{}");
    assertThat(first.status()).isEqualTo(200);
    assertThat(retried.body()).isEqualTo(first.body());
    assertThat(retried.header("idempotent-replayed")).isEqualTo("true");
    assertThat(cluster.till.runsOf(id)).isEqualTo(1);
  }

  private static void invalidInputIsRefused(Cluster cluster, Vm vm, String key) {
    long requests = cluster.engines.stream().mapToLong(e -> e.stats().get("requests")).sum();
    long runs = cluster.till.stats().get("runs");
    String chat = Cluster.chatBody(1, false);
    assertRefused(vm, "POST", "/v1/nothing", key, Map.of(), chat, 404, "UNKNOWN_ROUTE");
    assertRefused(vm, "GET", "/v1/chat/completions", key, Map.of(), "", 405, "METHOD_NOT_ALLOWED");
    assertRefused(vm, "POST", "/v1/chat/completions", "", Map.of(), chat, 401, "NO_KEY");
    assertRefused(vm, "POST", "/v1/chat/completions", "emx_x", Map.of(), chat, 401, "WRONG_KEY");
    assertRefused(
        vm, "POST", "/v1/chat/completions", key, Map.of(), "no json", 400, "MALFORMED_BODY");
    assertRefused(vm, "POST", "/v1/chat/completions", key, Map.of(), "{}", 400, "MALFORMED_BODY");
    assertRefused(
        vm,
        "POST",
        "/v1/chat/completions",
        key,
        Map.of(),
        chat.replace("assistant", "other"),
        404,
        "UNKNOWN_MODEL");
    assertRefused(
        vm,
        "POST",
        "/v1/chat/completions",
        key,
        Map.of("X-Endivemux-Class", "sale"),
        chat,
        400,
        "UNKNOWN_CLASS");
    assertRefused(
        vm,
        "POST",
        "/v1/chat/completions",
        key,
        Map.of(),
        "\"" + "x".repeat(2 << 20) + "\"",
        413,
        "BODY_TOO_LARGE");
    assertRefused(vm, "GET", "/services/none/x", key, Map.of(), "", 404, "UNKNOWN_SERVICE");
    assertRefused(vm, "POST", "/services/till/x", key, Map.of(), "", 400, "NO_IDEMPOTENCY_KEY");
    assertRefused(
        vm,
        "POST",
        "/services/till/x",
        key,
        Map.of("Idempotency-Key", "abc"),
        "",
        400,
        "IDEMPOTENCY_KEY_MALFORMED");
    assertRefused(vm, "GET", "/services/till/x?k=" + key, key, Map.of(), "", 400, "KEY_IN_REQUEST");
    assertRefused(vm, "GET", "/v1/status", key, Map.of(), "", 403, "ROLE_NOT_ALLOWED");
    assertRefused(
        vm, "POST", "/v1/plans", Cluster.OPERATOR, Map.of(), "{\"plan\":1}", 400, "MALFORMED_BODY");
    Map<String, String> tooLong = Map.of("X-Long", "x".repeat(40_000));
    assertRefused(vm, "GET", "/v1/entries", "", tooLong, "", 431, "HEADERS_TOO_LARGE");
    assertThat(cluster.engines.stream().mapToLong(e -> e.stats().get("requests")).sum())
        .isEqualTo(requests);
    assertThat(cluster.till.stats().get("runs")).isEqualTo(runs);
  }

  private static void assertRefused(
      Vm vm,
      String method,
      String path,
      String key,
      Map<String, String> headers,
      String body,
      int status,
      String reason) {
    Http.Response response = Http.call(method, vm.url(path), key, headers, body);
    assertThat(response.status()).as(reason + " " + response.body()).isEqualTo(status);
    assertThat(response.reason()).isEqualTo(reason);
    assertThat(response.executionStatus()).isEqualTo("not run");
  }

  private static void entriesAreListed(Cluster cluster) {
    Http.Response response =
        Http.call("GET", cluster.vms.get(0).url("/v1/entries"), "", Map.of(), "");
    assertThat(response.json().path("entries")).hasSize(3);
    assertThat(response.json().path("lifetime_seconds").asInt()).isEqualTo(1);
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
