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

/** Drives one scenario's open-loop load from a seed and judges the answers. Used by one thread. */
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
    List<CompletableFuture<Http.Answer>> calls =
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

  /** Holds one planned arrival. */
  private record Arrival(
      long atNanos, String requestClass, String organisation, int tokens, int vm) {}

  /** Holds one judged answer; times run from the planned arrival. */
  private record Result(
      String requestClass,
      String organisation,
      boolean whole,
      boolean refused,
      long nanos,
      int tokens) {
    boolean onTime() {
      return whole && nanos <= TARGET_MILLIS.get(requestClass) * 1_000_000;
    }
  }

  List<String> run() {
    List<Arrival> arrivals = plan();
    long madeBefore = tokensMade(i -> true);
    long cheapBefore = tokensMade(i -> i % 2 == 1);
    long start = System.nanoTime();
    scenario
        .events()
        .forEach(event -> later(TimeUnit.SECONDS.toNanos(event.at()), () -> strike(event)));
    List<CompletableFuture<Void>> calls =
        arrivals.stream().map(arrival -> schedule(arrival, start)).toList();
    calls.forEach(CompletableFuture::join);
    long made = tokensMade(i -> true) - madeBefore;
    long cheap = tokensMade(i -> i % 2 == 1) - cheapBefore;
    return Stream.of("sale", "chat", "summary")
        .filter(name -> results.stream().anyMatch(result -> result.requestClass().equals(name)))
        .map(name -> row(name, made, cheap))
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
    double at = load.from() + gap(load);
    while (at < end) {
      int tokens = (int) Math.min(400, load.medianTokens() * Math.exp(random.nextGaussian() * 0.8));
      arrivals.add(
          new Arrival(
              (long) (at * NANOS_PER_SECOND),
              load.requestClass(),
              organisation,
              Math.max(1, tokens),
              random.nextInt(6)));
      at += gap(load);
    }
  }

  private double gap(Scenario.Load load) {
    return -Math.log(1 - random.nextDouble()) / load.perSecond();
  }

  private CompletableFuture<Void> schedule(Arrival arrival, long start) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    long delay = Math.max(0, start + arrival.atNanos() - System.nanoTime());
    later(delay, () -> send(arrival, start, done));
    return done;
  }

  private void later(long nanos, Runnable action) {
    var unused = timer.schedule(action, nanos, TimeUnit.NANOSECONDS);
  }

  private void send(Arrival arrival, long start, CompletableFuture<Void> done) {
    Vm vm = serving(arrival.vm());
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
                response -> judge(arrival, start, response.statusCode(), response.body()))
            .exceptionally(
                error -> {
                  record(arrival, false, false, start);
                  return null;
                })
            .thenRun(() -> done.complete(null));
  }

  /** Returns a VM that runs, as a caller whose first address failed picks the next. */
  private Vm serving(int number) {
    return IntStream.range(0, 6)
        .mapToObj(i -> cluster.vms.get((number + i) % 6))
        .filter(Vm::runs)
        .findFirst()
        .orElseThrow();
  }

  private void judge(Arrival arrival, long start, int status, InputStream body) {
    try (body) {
      int first = body.read();
      long nanos = System.nanoTime() - start - arrival.atNanos();
      String rest = new String(body.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
      boolean sale = arrival.requestClass().equals("sale");
      boolean whole = status == 200 && first >= 0 && (sale || rest.contains("[DONE]"));
      results.add(
          new Result(
              arrival.requestClass(),
              arrival.organisation(),
              whole,
              status >= 400,
              nanos,
              sale ? 0 : arrival.tokens()));
    } catch (IOException e) {
      record(arrival, false, false, start);
    }
  }

  private void record(Arrival arrival, boolean whole, boolean refused, long start) {
    results.add(
        new Result(
            arrival.requestClass(),
            arrival.organisation(),
            whole,
            refused,
            System.nanoTime() - start - arrival.atNanos(),
            0));
  }

  private void strike(Scenario.Event event) {
    switch (event.what()) {
      case "slow" -> cluster.engines.get(event.number()).slowDown(8);
      case "crash" -> cluster.engineProxies.get(event.number()).mode(Mode.CUT);
      case "reclaim" -> reclaim(event.number());
      case "killEntry" -> cluster.vms.get(event.number()).kill();
      case "cutEntry" -> cluster.links(cluster.vms.get(event.number()), Mode.SILENT);
      default -> throw new IllegalArgumentException(event.what());
    }
  }

  /** Takes the cheap engines of one failure domain: told at once, gone two seconds later. */
  private void reclaim(int domain) {
    List<Integer> gone =
        IntStream.range(0, scenario.engines())
            .filter(i -> i % 2 == 1 && i / 2 % 4 == domain)
            .boxed()
            .toList();
    cluster.platform.reclaim(gone.stream().map(i -> "engine-" + (i + 1)).toList());
    later(
        TimeUnit.SECONDS.toNanos(2),
        () -> gone.forEach(i -> cluster.engineProxies.get(i).mode(Mode.CUT)));
  }

  private long tokensMade(java.util.function.IntPredicate which) {
    return IntStream.range(0, cluster.engines.size())
        .filter(which)
        .mapToLong(i -> cluster.engines.get(i).stats().get("tokens"))
        .sum();
  }

  private String row(String name, long made, long cheap) {
    List<Result> own =
        results.stream().filter(result -> result.requestClass().equals(name)).toList();
    Histogram nanos = new Histogram(3);
    own.stream().filter(Result::whole).forEach(r -> nanos.recordValue(Math.max(1, r.nanos())));
    long delivered = results.stream().filter(Result::whole).mapToLong(Result::tokens).sum();
    long good = own.stream().filter(Result::onTime).mapToLong(Result::tokens).sum();
    return "%s | %s | %s | %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f | %.1f | %.0f | %.1f | %.0f | %d"
        .formatted(
            scenario.name(),
            policy,
            name,
            own.size(),
            percent(own.stream().filter(Result::onTime).count(), own.size()),
            percent(own.stream().filter(Result::refused).count(), own.size()),
            percent(own.stream().filter(r -> r.whole() && !r.onTime()).count(), own.size()),
            nanos.getValueAtPercentile(50) / 1e6,
            nanos.getValueAtPercentile(99) / 1e6,
            nanos.getMaxValue() / 1e6,
            worst(own),
            good / (double) scenario.seconds(),
            percent(Math.max(0, made - delivered), Math.max(1, made)),
            percent(cheap, Math.max(1, made)),
            cluster.till.stats().get("doubles"));
  }

  private static double worst(List<Result> own) {
    return own.stream().collect(Collectors.groupingBy(Result::organisation)).values().stream()
        .mapToDouble(list -> percent(list.stream().filter(Result::onTime).count(), list.size()))
        .min()
        .orElse(0);
  }

  private static double percent(long part, long whole) {
    return 100.0 * part / whole;
  }

  @Override
  public void close() {
    timer.shutdownNow();
    cluster.close();
  }
}
