package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.testing.Engine;

/** Tests that streams are delivered completely or reported as broken. */
final class StreamTest {
  @Example
  void brokenStreamResumesElsewhereWithoutGapsOrDuplicates() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(0);
      cluster.engines.get(0).breakAfter(4);
      cluster.engines.get(1).breakAfter(7);
      Http.Response response = Cluster.chat(vm, key, 20, true);
      assertThat(response.status()).as(response.body() + vm.logText()).isEqualTo(200);
      assertThat(words(response.body())).isEqualTo(wordsTo(20));
      assertThat(response.body()).contains("data: [DONE]");
    }
  }

  @Example
  void streamThatCannotResumeIsReportedAsBroken() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(0);
      cluster.engines.forEach(engine -> engine.breakAfter(1));
      try (RawCall call = RawCall.chat(vm, key, Cluster.chatBody(20, true))) {
        String text = call.readUntil("[DONE]");
        assertThat(text).contains("w1 ", "event: error", "ANSWER_BROKEN", "outcome unknown");
        assertThat(text).doesNotContain("[DONE]").doesNotEndWith("0\r\n\r\n");
      }
    }
  }

  @Example
  void silentEngineIsReplacedByAnotherDuringAStream() {
    assertStreamIsCompleteAlthough(engine -> engine.muteAfter(2));
  }

  @Example
  void engineThatSendsBytesWithoutEventsIsReplacedByAnotherDuringAStream() {
    assertStreamIsCompleteAlthough(engine -> engine.dripAfter(2));
  }

  /** Plays a fault on one engine while the other one breaks each stream after three tokens. */
  private static void assertStreamIsCompleteAlthough(Consumer<Engine> fault) {
    try (Cluster cluster = Cluster.started(1, 0)) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(0);
      fault.accept(cluster.engines.get(0));
      cluster.engines.get(1).breakAfter(3);
      Http.Response response = Cluster.chat(vm, key, 6, true);
      assertThat(words(response.body())).isEqualTo(wordsTo(6));
    }
  }

  @Example
  void openConnectionsThatGoSilentAreReplaced() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(0);
      IntStream.range(0, 4).forEach(i -> Cluster.chat(vm, key, 2, true));
      cluster.engineProxies.forEach(proxy -> proxy.silencePresentConnections());
      cluster.allLinks(proxy -> proxy.silencePresentConnections());
      Await.until(
          "a complete response again", () -> Cluster.chat(vm, key, 2, true).status() == 200);
      cluster.awaitReady();
      assertThat(Cluster.sale(vm, key, Cluster.newIdempotencyKey(), "{}").status()).isEqualTo(200);
    }
  }

  @Example
  void responseToAnotherRequestIsNeverPassedOn() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(0);
      cluster.engines.get(0).echoWrongId("somebody-else");
      IntStream.range(0, 6)
          .mapToObj(i -> Cluster.chat(vm, key, 3, false))
          .forEach(response -> assertThat(response.status()).isEqualTo(200));
      String metrics = Http.call("GET", vm.url("/metrics"), "", Map.of(), "").body();
      assertThat(metrics).doesNotContain("endivemux_backend_crossedAnswers_total 0");
    }
  }

  @Example
  void disconnectedCallerFreesItsEngineSlot() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      String key = cluster.key("eggs");
      Vm vm = cluster.vms.get(0);
      try (RawCall call = RawCall.chat(vm, key, Cluster.chatBody(100_000, true))) {
        assertThat(call.readUntil("w3 ")).contains("w3 ");
      }
      Await.until(
          "no slot is in use",
          () -> cluster.engines.stream().mapToLong(e -> running(e)).sum() == 0);
      assertThat(Cluster.chat(vm, key, 2, false).status()).isEqualTo(200);
    }
  }

  private static long running(Engine engine) {
    return engine.stats().get("running");
  }

  private static String words(String sse) {
    return sse.lines()
        .filter(line -> line.contains("\"content\":\""))
        .map(line -> line.replaceAll(".*\"content\":\"(w\\d+) \".*", "$1"))
        .collect(Collectors.joining(" "));
  }

  private static String wordsTo(int tokens) {
    return IntStream.rangeClosed(1, tokens).mapToObj(i -> "w" + i).collect(Collectors.joining(" "));
  }
}
