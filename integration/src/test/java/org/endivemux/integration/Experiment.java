package org.endivemux.integration;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.endivemux.testing.EngineSettings;
import org.endivemux.testing.FaultProxy.Mode;

/**
 * Generates one scenario's open-loop load from a seed and evaluates the responses. Used by one
 * thread.
 */
final class Experiment implements AutoCloseable {
  private static final EngineSettings ENGINE = new EngineSettings(8, 10_000, 40, 64, 1000, true);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Map<String, Long> TARGET_MILLIS =
      Map.of("sale", 300L, "chat", 840L, "summary", 60_000L);

  private final Scenario scenario;
  private final String policy;
  private final Random random;
  private final Cluster cluster;
  private final Map<String, String> keys = new HashMap<>();
  private final ConcurrentLinkedQueue<Result> results = new ConcurrentLinkedQueue<>();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);

  Experiment(Scenario scenario, String policy, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    this.random = new Random(seed);
    this.cluster = new Cluster(3, 3, true, scenario.engines(), ENGINE, policy);
    cluster.allLinks(link -> link.degrade(scenario.linkMillis(), 2, 0));
    Stream.concat(cluster.engineProxies.stream(), Stream.of(cluster.tillProxy))
        .forEach(proxy -> proxy.degrade(scenario.linkMillis(), 2, 0));
    cluster.vms.forEach(Vm::start);
    cluster.awaitReady();
    String[] organisations =
        scenario.loads().stream()
            .flatMap(Experiment::organisations)
            .distinct()
            .toArray(String[]::new);
    cluster.configure(organisations);
    Stream.of(organisations).forEach(name -> keys.put(name, cluster.key(name)));
    warmUp(organisations[0]);
  }

  private static Stream<String> organisations(Scenario.Load load) {
    return IntStream.range(0, load.organisations()).mapToObj(i -> load.organisation() + i);
  }

  private void warmUp(String organisation) {
    List<CompletableFuture<Http.Response>> calls =
        IntStream.range(0, 120)
            .mapToObj(
                i ->
                    Http.callAsync(
                        "POST",
                        cluster.vms.get(i % 6).url("/v1/chat/completions"),
                        keys.get(organisation),
                        Map.of(),
                        Cluster.chatBody(5, true)))
            .toList();
    calls.forEach(CompletableFuture::join);
  }

  /** A planned arrival of one request. */
  private record Arrival(
      long atNanos, String requestClass, String organisation, int tokens, int vm) {}

  /** The result of one request; its time is measured from the planned arrival. */
  private record Result(
      String requestClass,
      String organisation,
      boolean complete,
      boolean refused,
      long nanos,
      int tokens) {
    boolean onTime() {
      return complete && nanos <= TARGET_MILLIS.get(requestClass) * 1_000_000;
    }
  }

  List<String> run() {
    List<Arrival> arrivals = plan();
    long generatedBefore = generatedTokens(i -> true);
    long spotBefore = generatedTokens(i -> i % 2 == 1);
    long start = System.nanoTime();
    scenario
        .events()
        .forEach(event -> runAfter(TimeUnit.SECONDS.toNanos(event.at()), () -> injectFault(event)));
    List<CompletableFuture<Void>> calls =
        arrivals.stream().map(arrival -> schedule(arrival, start)).toList();
    calls.forEach(CompletableFuture::join);
    long generated = generatedTokens(i -> true) - generatedBefore;
    long spot = generatedTokens(i -> i % 2 == 1) - spotBefore;
    return Stream.of("sale", "chat", "summary")
        .filter(name -> results.stream().anyMatch(result -> result.requestClass().equals(name)))
        .map(name -> row(name, generated, spot))
        .toList();
  }

  private List<Arrival> plan() {
    List<Arrival> arrivals = new ArrayList<>();
    for (Scenario.Load load : scenario.loads()) {
      organisations(load).forEach(organisation -> plan(load, organisation, arrivals));
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
    return arrivals;
  }

  private void plan(Scenario.Load load, String organisation, List<Arrival> arrivals) {
    double end = load.to() == 0 ? scenario.seconds() : load.to();
    double at = load.from() + interarrivalSeconds(load);
    while (at < end) {
      int tokens = (int) Math.min(400, load.medianTokens() * Math.exp(random.nextGaussian() * 0.8));
      arrivals.add(
          new Arrival(
              (long) (at * NANOS_PER_SECOND),
              load.requestClass(),
              organisation,
              Math.max(1, tokens),
              random.nextInt(6)));
      at += interarrivalSeconds(load);
    }
  }

  private double interarrivalSeconds(Scenario.Load load) {
    return -Math.log(1 - random.nextDouble()) / load.perSecond();
  }

  private CompletableFuture<Void> schedule(Arrival arrival, long start) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    long delay = Math.max(0, start + arrival.atNanos() - System.nanoTime());
    runAfter(delay, () -> send(arrival, start, done));
    return done;
  }

  private void runAfter(long nanos, Runnable action) {
    var unused = timer.schedule(action, nanos, TimeUnit.NANOSECONDS);
  }

  private void send(Arrival arrival, long start, CompletableFuture<Void> done) {
    Vm vm = runningVm(arrival.vm());
    boolean sale = arrival.requestClass().equals("sale");
    Map<String, String> headers =
        sale
            ? Map.of("Idempotency-Key", Cluster.newIdempotencyKey())
            : Map.of("X-Endivemux-Class", arrival.requestClass());
    String path = sale ? "/services/till/sales" : "/v1/chat/completions";
    String body = sale ? "{}" : Cluster.chatBody(arrival.tokens(), true);
    var unused =
        Http.openAsync(vm.url(path), keys.get(arrival.organisation()), headers, body)
            .thenAcceptAsync(
                response -> recordResponse(arrival, start, response.statusCode(), response.body()))
            .exceptionally(
                error -> {
                  record(arrival, false, false, start);
                  return null;
                })
            .thenRun(() -> done.complete(null));
  }

  /**
   * Returns the first running VM from this one on, as a caller that fails over to the next address.
   */
  private Vm runningVm(int number) {
    return IntStream.range(0, 6)
        .mapToObj(i -> cluster.vms.get((number + i) % 6))
        .filter(Vm::isRunning)
        .findFirst()
        .orElseThrow();
  }

  private void recordResponse(Arrival arrival, long start, int status, InputStream body) {
    try (body) {
      int first = body.read();
      long nanos = System.nanoTime() - start - arrival.atNanos();
      String rest = new String(body.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
      boolean sale = arrival.requestClass().equals("sale");
      boolean complete = status == 200 && first >= 0 && (sale || rest.contains("[DONE]"));
      results.add(
          new Result(
              arrival.requestClass(),
              arrival.organisation(),
              complete,
              status >= 400,
              nanos,
              sale ? 0 : arrival.tokens()));
    } catch (IOException e) {
      record(arrival, false, false, start);
    }
  }

  private void record(Arrival arrival, boolean complete, boolean refused, long start) {
    results.add(
        new Result(
            arrival.requestClass(),
            arrival.organisation(),
            complete,
            refused,
            System.nanoTime() - start - arrival.atNanos(),
            0));
  }

  private void injectFault(Scenario.Event event) {
    switch (event.what()) {
      case "slow" -> cluster.engines.get(event.number()).slowDown(8);
      case "crash" -> cluster.engineProxies.get(event.number()).mode(Mode.CUT);
      case "reclaim" -> reclaim(event.number());
      case "killEntry" -> cluster.vms.get(event.number()).kill();
      case "cutEntry" -> cluster.links(cluster.vms.get(event.number()), Mode.SILENT);
      default -> throw new IllegalArgumentException(event.what());
    }
  }

  /**
   * Reclaims the spot engines of one failure domain: two seconds after the notice they are cut off.
   */
  private void reclaim(int domain) {
    List<Integer> reclaimed =
        IntStream.range(0, scenario.engines())
            .filter(i -> i % 2 == 1 && i / 2 % 4 == domain)
            .boxed()
            .toList();
    cluster.platform.reclaim(reclaimed.stream().map(i -> "engine-" + (i + 1)).toList());
    runAfter(
        TimeUnit.SECONDS.toNanos(2),
        () -> reclaimed.forEach(i -> cluster.engineProxies.get(i).mode(Mode.CUT)));
  }

  private long generatedTokens(java.util.function.IntPredicate which) {
    return IntStream.range(0, cluster.engines.size())
        .filter(which)
        .mapToLong(i -> cluster.engines.get(i).stats().get("tokens"))
        .sum();
  }

  private String row(String name, long generated, long spot) {
    List<Result> ofClass =
        results.stream().filter(result -> result.requestClass().equals(name)).toList();
    Histogram nanos = new Histogram(3);
    ofClass.stream()
        .filter(Result::complete)
        .forEach(r -> nanos.recordValue(Math.max(1, r.nanos())));
    long delivered = results.stream().filter(Result::complete).mapToLong(Result::tokens).sum();
    long good = ofClass.stream().filter(Result::onTime).mapToLong(Result::tokens).sum();
    return "%s | %s | %s | %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f | %.1f | %.0f | %.1f | %.0f | %d"
        .formatted(
            scenario.name(),
            policy,
            name,
            ofClass.size(),
            percent(ofClass.stream().filter(Result::onTime).count(), ofClass.size()),
            percent(ofClass.stream().filter(Result::refused).count(), ofClass.size()),
            percent(
                ofClass.stream().filter(r -> r.complete() && !r.onTime()).count(), ofClass.size()),
            nanos.getValueAtPercentile(50) / 1e6,
            nanos.getValueAtPercentile(99) / 1e6,
            nanos.getMaxValue() / 1e6,
            worstOnTimePercent(ofClass),
            good / (double) scenario.seconds(),
            percent(Math.max(0, generated - delivered), Math.max(1, generated)),
            percent(spot, Math.max(1, generated)),
            cluster.till.stats().get("doubles"));
  }

  private static double worstOnTimePercent(List<Result> ofClass) {
    return ofClass.stream().collect(Collectors.groupingBy(Result::organisation)).values().stream()
        .mapToDouble(
            perOrganisation ->
                percent(
                    perOrganisation.stream().filter(Result::onTime).count(),
                    perOrganisation.size()))
        .min()
        .orElse(0);
  }

  private static double percent(long part, long total) {
    return 100.0 * part / total;
  }

  @Override
  public void close() {
    timer.shutdownNow();
    cluster.close();
  }
}
