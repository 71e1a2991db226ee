package org.endivemux.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * Measures the control plane with several numbers of entry processes. Not part of CI; the numbers
 * are set by {@code -Dfleet=8,24,72}, limited by what the machine can run.
 */
final class FleetBench {
  private static final int VOTERS = 3;
  private static final int CHANGES = 10;
  private static final double TICKS_PER_SECOND = 100;
  private static final int WINDOW_SECONDS = 8;
  private static final int SETTLE_SECONDS = 12;

  @Example
  void print() {
    List<Integer> sizes =
        Stream.of(System.getProperty("fleet", "8,24,72").split(",", -1))
            .map(Integer::valueOf)
            .toList();
    int largest = sizes.get(sizes.size() - 1);
    System.out.println(
        "FLEET entries | leader CPU % of a core | leader bytes/s | entry CPU % | entry bytes/s |"
            + " entry RSS MB | confirm to in force ms p50, max");
    try (Cluster cluster = new Cluster(VOTERS, largest, true)) {
      cluster.vms.stream().limit(VOTERS).forEach(Vm::start);
      cluster.awaitReady();
      cluster.configure();
      sizes.forEach(size -> measure(cluster, size));
    }
  }

  private static void measure(Cluster cluster, int size) {
    cluster.vms.stream()
        .limit(VOTERS + size)
        .filter(vm -> !vm.shouldBeRunning())
        .forEach(Vm::start);
    cluster.awaitReady();
    pause(SETTLE_SECONDS);
    Vm leader = cluster.leader();
    List<Vm> entries = cluster.vms.stream().skip(VOTERS).limit(size).toList();
    double leaderTicks = ticks(leader);
    double leaderBytes = bytes(leader);
    double entryTicks = entries.stream().mapToDouble(FleetBench::ticks).sum();
    double entryBytes = entries.stream().mapToDouble(FleetBench::bytes).sum();
    long start = System.nanoTime();
    pause(WINDOW_SECONDS);
    double seconds = (System.nanoTime() - start) / 1e9;
    double perLeader = (ticks(leader) - leaderTicks) / TICKS_PER_SECOND / seconds * 100;
    double leaderRate = (bytes(leader) - leaderBytes) / seconds;
    double perEntry =
        (entries.stream().mapToDouble(FleetBench::ticks).sum() - entryTicks)
            / TICKS_PER_SECOND
            / seconds
            / size
            * 100;
    double entryRate =
        (entries.stream().mapToDouble(FleetBench::bytes).sum() - entryBytes) / seconds / size;
    List<Long> millis =
        IntStream.range(0, CHANGES).mapToObj(i -> change(cluster, size, i)).sorted().toList();
    double rss = entries.stream().mapToDouble(FleetBench::rssMegabytes).average().orElse(0);
    System.out.printf(
        "FLEET %d | %.1f | %.0f | %.2f | %.0f | %.0f | %d, %d%n",
        size,
        perLeader,
        leaderRate,
        perEntry,
        entryRate,
        rss,
        millis.get(CHANGES / 2),
        millis.get(CHANGES - 1));
  }

  private static void pause(int seconds) {
    long start = System.nanoTime();
    Await.until("the pause is over", () -> System.nanoTime() - start > seconds * 1_000_000_000L);
  }

  private static long change(Cluster cluster, int size, int i) {
    long start = System.nanoTime();
    Http.Response confirmed = cluster.configure("org-" + size + "-" + i);
    if (!confirmed.json().path("in_force").asBoolean()) {
      System.out.println("FLEET not in force in time: " + confirmed.body());
    }
    return (System.nanoTime() - start) / 1_000_000;
  }

  private static double ticks(Vm vm) {
    String[] fields = read(Path.of("/proc/" + vm.pid() + "/stat")).split(" ", -1);
    return Double.parseDouble(fields[13]) + Double.parseDouble(fields[14]);
  }

  static double rssMegabytes(Vm vm) {
    return read(Path.of("/proc/" + vm.pid() + "/status"))
        .lines()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024)
        .sum();
  }

  private static double bytes(Vm vm) {
    Map<String, Double> metrics =
        Http.call("GET", vm.url("/metrics"), "", Map.of(), "")
            .body()
            .lines()
            .filter(line -> line.startsWith("endivemux_peer_bytes"))
            .collect(
                Collectors.toMap(
                    line -> line.split(" ", -1)[0],
                    line -> Double.parseDouble(line.split(" ", -1)[1])));
    return metrics.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
