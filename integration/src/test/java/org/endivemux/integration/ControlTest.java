package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.Keys;
import org.endivemux.testing.FaultProxy.Mode;

/** Proves authority, durable state and configuration under failure. */
final class ControlTest {
  @Example
  void stateSurvivesAKilledLeaderAndARestartOfAll() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String withdrawn = cluster.key("eggs");
      Cluster.withdraw(cluster.vms.get(0), withdrawn);
      Vm leader = cluster.leader();
      leader.kill();
      Await.until("another leads", () -> cluster.leader() != leader);
      leader.start();
      cluster.awaitReady();
      cluster.vms.forEach(Vm::kill);
      cluster.vms.forEach(Vm::start);
      cluster.awaitReady();
      cluster.vms.forEach(
          vm -> {
            assertThat(Cluster.chat(vm, key, 1, false).status()).isEqualTo(200);
            assertThat(Cluster.chat(vm, withdrawn, 1, false).reason()).isEqualTo("KEY_WITHDRAWN");
          });
    }
  }

  @Example
  void silentlyCutLeaderIsReplacedAndOrdersNothing() {
    try (Cluster cluster = Cluster.started()) {
      Vm old = cluster.leader();
      cluster.links(old, Mode.SILENT);
      Vm other = cluster.other(old);
      Await.until(
          "another leads", () -> leaderSeenBy(other).equals(other.name) || differs(other, old));
      long windows = cluster.platform.windowCount();
      Await.until("the new leader reports", () -> cluster.platform.windowCount() > windows);
      Http.Answer stale = Http.call("GET", old.url("/v1/status"), Cluster.OPERATOR, Map.of(), "");
      assertThat(stale.reason()).isEqualTo("CONTROL_UNAVAILABLE");
      cluster.links(old, Mode.PASS);
      cluster.awaitReady();
      assertThat(cluster.platform.violations()).isEmpty();
    }
  }

  private static boolean differs(Vm asked, Vm old) {
    String leader = leaderSeenBy(asked);
    return !leader.isEmpty() && !leader.equals(old.name);
  }

  private static String leaderSeenBy(Vm vm) {
    return Http.call("GET", vm.url("/v1/status"), Cluster.OPERATOR, Map.of(), "")
        .json()
        .path("leader")
        .asText();
  }

  @Example
  void frozenLeaderWakesUpWithoutAuthority() {
    try (Cluster cluster = Cluster.started()) {
      Vm old = cluster.leader();
      Vm other = cluster.other(old);
      old.freeze();
      Await.until("another leads", () -> differs(other, old));
      long windows = cluster.platform.windowCount();
      Await.until("the new leader reports", () -> cluster.platform.windowCount() > windows);
      old.thaw();
      cluster.awaitReady();
      long more = cluster.platform.windowCount();
      Await.until("reports go on", () -> cluster.platform.windowCount() > more);
      assertThat(cluster.platform.violations()).isEmpty();
    }
  }

  @Example
  void lostDiskIsReplacedAndASecondLossRightAfterLeavesAQuorum() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      Vm lost = cluster.vms.get(1);
      String oldDisk = diskOf(cluster, lost);
      lost.loseDisk();
      Await.until("the new disk has the old one's vote", () -> isReplaced(cluster, lost, oldDisk));
      Vm second = cluster.vms.get(2);
      second.kill();
      Await.until("a quorum answers", () -> cluster.configure("late").status() == 200);
      assertThat(Cluster.chat(lost, key, 1, false).status()).isEqualTo(200);
      second.deleteData();
      second.start();
      cluster.awaitReady();
      assertThat(Cluster.sale(second, key, Cluster.newIdempotencyKey(), "{}").status())
          .isEqualTo(200);
    }
  }

  private static String diskOf(Cluster cluster, Vm vm) {
    return members(cluster).stream()
        .filter(member -> member.path("vm").asText().equals(vm.name))
        .map(member -> member.path("disk").asText())
        .findFirst()
        .orElse("");
  }

  private static boolean isReplaced(Cluster cluster, Vm vm, String oldDisk) {
    List<JsonNode> members = members(cluster);
    return members.size() == 3
        && members.stream().allMatch(member -> member.path("voter").asBoolean())
        && members.stream().noneMatch(member -> member.path("disk").asText().equals(oldDisk))
        && members.stream().anyMatch(member -> member.path("vm").asText().equals(vm.name));
  }

  private static List<JsonNode> members(Cluster cluster) {
    return IntStream.range(0, cluster.status().path("members").size())
        .mapToObj(i -> cluster.status().path("members").get(i))
        .toList();
  }

  @Example
  void racingOperatorsHaveOneWinnerAndResendsGetTheFirstAnswer() {
    try (Cluster cluster = Cluster.started()) {
      IntStream.range(0, 10).forEach(round -> race(cluster, round));
      assertThat(cluster.status().path("version").asInt()).isEqualTo(11);
      Http.Answer reused =
          Cluster.plan(cluster.vms.get(0), "race-0-a", cluster.declaration("other"));
      assertThat(reused.reason()).isEqualTo("PLAN_REUSED");
    }
  }

  private static void race(Cluster cluster, int round) {
    List<String> plans = List.of("race-" + round + "-a", "race-" + round + "-b");
    IntStream.range(0, 2)
        .forEach(
            i ->
                Cluster.plan(
                    cluster.vms.get(i), plans.get(i), cluster.declaration("org" + round + i)));
    List<CompletableFuture<Http.Answer>> confirms =
        IntStream.range(0, 2)
            .mapToObj(
                i ->
                    CompletableFuture.supplyAsync(
                        () -> Cluster.confirm(cluster.vms.get(i), plans.get(i))))
            .toList();
    List<Http.Answer> answers = confirms.stream().map(CompletableFuture::join).toList();
    assertThat(answers).filteredOn(answer -> answer.status() == 200).hasSize(1);
    assertThat(answers)
        .filteredOn(answer -> answer.reason().equals("PLAN_CONFLICT"))
        .hasSize(1)
        .allSatisfy(answer -> assertThat(answer.body()).contains("from settings"));
    int winner = answers.get(0).status() == 200 ? 0 : 1;
    Http.Answer again = Cluster.confirm(cluster.vms.get(2), plans.get(winner));
    assertThat(again.json().path("version")).isEqualTo(answers.get(winner).json().path("version"));
  }

  @Example
  void confirmedConfigurationIsInForceEverywhereAndNeverReverts() {
    try (Cluster cluster = Cluster.started(3, 1)) {
      IntStream.range(0, 5)
          .forEach(
              i -> {
                Http.Answer confirmed = cluster.configure("org" + i);
                assertThat(confirmed.json().path("in_force").asBoolean()).isTrue();
                cluster.vms.forEach(
                    vm ->
                        assertThat(versionOf(vm))
                            .isEqualTo(confirmed.json().path("version").asInt()));
                Vm leader = cluster.leader();
                leader.restart();
                cluster.awaitReady();
                assertThat(versionOf(leader)).isEqualTo(confirmed.json().path("version").asInt());
              });
    }
  }

  private static int versionOf(Vm vm) {
    return Http.call("GET", vm.url("/metrics"), "", Map.of(), "")
        .body()
        .lines()
        .filter(line -> line.startsWith("endivemux_entry_version "))
        .map(line -> line.substring(line.indexOf(' ') + 1))
        .mapToInt(text -> (int) Double.parseDouble(text))
        .findFirst()
        .orElse(-1);
  }

  @Example
  void usageIsReportedOnceWithTheSameFiguresWhenTheLeaderDies() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      IntStream.range(0, 20).forEach(i -> Cluster.chat(cluster.vms.get(i % 3), key, 1, i % 2 == 0));
      cluster.platform.failNext(3);
      Await.until("a window is reported", () -> cluster.platform.reportedRequests() >= 1);
      Vm leader = cluster.leader();
      Vm survivor = cluster.other(leader);
      IntStream.range(0, 10).forEach(i -> Cluster.chat(survivor, key, 1, false));
      leader.restart();
      Await.until("all is reported", () -> cluster.platform.reportedRequests() == 30);
      assertThat(cluster.platform.violations()).isEmpty();
    }
  }

  @Example
  void manyChangesSurviveARestartFromASnapshot() {
    try (Cluster cluster = Cluster.started()) {
      Vm vm = cluster.vms.get(0);
      IntStream.range(0, 4200)
          .parallel()
          .forEach(
              i -> {
                String body =
                    "{\"digest\":\"%s\",\"organisation\":\"eggs\",\"role\":\"VIEWER\",\"label\":\"%d\"}"
                        .formatted(Keys.digest("k" + i), i);
                Http.call("POST", vm.url("/v1/keys"), Cluster.OPERATOR, Map.of(), body);
              });
      assertThat(cluster.vms.stream().anyMatch(it -> it.logText().contains("event=compacted")))
          .isTrue();
      cluster.vms.forEach(Vm::kill);
      cluster.vms.forEach(Vm::start);
      cluster.awaitReady();
      Http.Answer status = Http.call("GET", vm.url("/v1/status"), "k4199", Map.of(), "");
      assertThat(status.status()).isEqualTo(200);
    }
  }
}
