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

/** Tests leadership, durable state and configuration under failures. */
final class ControlTest {
  @Example
  void stateSurvivesAKilledLeaderAndARestartOfAllVms() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      String withdrawn = cluster.key("eggs");
      Cluster.withdraw(cluster.vms.get(0), withdrawn);
      Vm leader = cluster.leader();
      leader.kill();
      Await.until("another VM is the leader", () -> cluster.leader() != leader);
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
  void silentlyPartitionedLeaderIsReplacedAndOrdersNothing() {
    try (Cluster cluster = Cluster.started()) {
      Vm oldLeader = cluster.leader();
      cluster.links(oldLeader, Mode.SILENT);
      Vm other = cluster.other(oldLeader);
      Await.until(
          "another VM is the leader",
          () -> leaderSeenBy(other).equals(other.name) || hasNewLeader(other, oldLeader));
      long windows = cluster.platform.windowCount();
      Await.until("the new leader reports usage", () -> cluster.platform.windowCount() > windows);
      Http.Response stale =
          Http.call("GET", oldLeader.url("/v1/status"), Cluster.OPERATOR, Map.of(), "");
      assertThat(stale.reason()).isEqualTo("CONTROL_UNAVAILABLE");
      cluster.links(oldLeader, Mode.PASS);
      cluster.awaitReady();
      assertThat(cluster.platform.violations()).isEmpty();
    }
  }

  private static boolean hasNewLeader(Vm observer, Vm oldLeader) {
    String leader = leaderSeenBy(observer);
    return !leader.isEmpty() && !leader.equals(oldLeader.name);
  }

  private static String leaderSeenBy(Vm vm) {
    return Http.call("GET", vm.url("/v1/status"), Cluster.OPERATOR, Map.of(), "")
        .json()
        .path("leader")
        .asText();
  }

  @Example
  void frozenLeaderResumesWithoutLeadership() {
    try (Cluster cluster = Cluster.started()) {
      Vm oldLeader = cluster.leader();
      Vm other = cluster.other(oldLeader);
      oldLeader.freeze();
      Await.until("another VM is the leader", () -> hasNewLeader(other, oldLeader));
      long windows = cluster.platform.windowCount();
      Await.until("the new leader reports usage", () -> cluster.platform.windowCount() > windows);
      oldLeader.thaw();
      cluster.awaitReady();
      long windowsAfterResume = cluster.platform.windowCount();
      Await.until(
          "usage reports continue", () -> cluster.platform.windowCount() > windowsAfterResume);
      assertThat(cluster.platform.violations()).isEmpty();
    }
  }

  @Example
  void quorumRemainsAfterALostDiskIsReplacedAndASecondVoterDies() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      Vm voterWithoutDisk = cluster.vms.get(1);
      String oldDisk = diskOf(cluster, voterWithoutDisk);
      voterWithoutDisk.loseDisk();
      Await.until(
          "the new disk replaces the old one as a voter",
          () -> isReplaced(cluster, voterWithoutDisk, oldDisk));
      Vm second = cluster.vms.get(2);
      second.kill();
      Await.until("a quorum accepts changes", () -> cluster.configure("late").status() == 200);
      assertThat(Cluster.chat(voterWithoutDisk, key, 1, false).status()).isEqualTo(200);
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
  void oneOfTwoRacingConfirmationsSucceedsAndRetriesGetItsResult() {
    try (Cluster cluster = Cluster.started()) {
      IntStream.range(0, 10).forEach(round -> race(cluster, round));
      assertThat(cluster.status().path("version").asInt()).isEqualTo(11);
      Http.Response reused =
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
    List<CompletableFuture<Http.Response>> confirms =
        IntStream.range(0, 2)
            .mapToObj(
                i ->
                    CompletableFuture.supplyAsync(
                        () -> Cluster.confirm(cluster.vms.get(i), plans.get(i))))
            .toList();
    List<Http.Response> responses = confirms.stream().map(CompletableFuture::join).toList();
    assertThat(responses).filteredOn(response -> response.status() == 200).hasSize(1);
    assertThat(responses)
        .filteredOn(response -> response.reason().equals("PLAN_CONFLICT"))
        .hasSize(1)
        .allSatisfy(response -> assertThat(response.body()).contains("from settings"));
    int winner = responses.get(0).status() == 200 ? 0 : 1;
    Http.Response retried = Cluster.confirm(cluster.vms.get(2), plans.get(winner));
    assertThat(retried.json().path("version"))
        .isEqualTo(responses.get(winner).json().path("version"));
  }

  @Example
  void confirmedConfigurationIsInForceOnAllVmsAndNeverReverts() {
    try (Cluster cluster = Cluster.started(3, 1)) {
      IntStream.range(0, 5)
          .forEach(
              i -> {
                Http.Response confirmed = cluster.configure("org" + i);
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
      Await.until("all requests are reported", () -> cluster.platform.reportedRequests() == 30);
      assertThat(cluster.platform.violations()).isEmpty();
    }
  }

  @Example
  void usageOfAKilledLeaderIsReportedAlthoughThePlatformWasSilent() {
    try (Cluster cluster = Cluster.started()) {
      String key = cluster.key("eggs");
      cluster.platformProxy.mode(Mode.SILENT);
      Vm leader = cluster.leader();
      Vm survivor = cluster.other(leader);
      IntStream.range(0, 5).forEach(i -> Cluster.chat(leader, key, 1, false));
      IntStream.range(0, 10).forEach(i -> Cluster.chat(survivor, key, 1, false));
      leader.restart();
      cluster.platformProxy.mode(Mode.PASS);
      cluster.platformProxy.resetPresentConnections();
      Await.until("all requests are reported", () -> cluster.platform.reportedRequests() == 15);
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
      Http.Response status = Http.call("GET", vm.url("/v1/status"), "k4199", Map.of(), "");
      assertThat(status.status()).isEqualTo(200);
    }
  }
}
