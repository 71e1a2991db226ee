package org.endivemux.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.model.IdempotencyTime;
import org.endivemux.model.Keys;
import org.endivemux.testing.Engine;
import org.endivemux.testing.EngineSettings;
import org.endivemux.testing.FaultProxy;
import org.endivemux.testing.PlainService;
import org.endivemux.testing.Platform;

/**
 * Runs real daemons. All links between them and all connections to backend servers and the platform
 * pass through fault proxies. Used by one test.
 */
final class Cluster implements AutoCloseable {
  static final String OPERATOR = "emx_operator";

  private static final Random IDS = new Random();

  private static final Duration FIRST_BYTE_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration LONG_FIRST_BYTE_TIMEOUT = Duration.ofMinutes(2);

  final List<Vm> vms = new ArrayList<>();
  final List<Engine> engines = new ArrayList<>();
  final List<FaultProxy> engineProxies = new ArrayList<>();
  final PlainService till = new PlainService(0);
  final FaultProxy tillProxy = new FaultProxy(0, till.port(), 1);
  final Platform platform;
  final FaultProxy platformProxy;
  private final Map<String, FaultProxy> links = new HashMap<>();
  private final Path folder;
  private final int voters;
  private final String policy;
  private final EngineSettings engineSettings;
  private final Duration firstByteTimeout;

  Cluster(int voters, int entries, boolean platformChecksFencing) {
    this(voters, entries, platformChecksFencing, 2, EngineSettings.quick(), "least-cost");
  }

  private Cluster(int voters, int entries, Duration firstByteTimeout) {
    this(voters, entries, true, 2, EngineSettings.quick(), "least-cost", firstByteTimeout);
  }

  Cluster(
      int voters,
      int entries,
      boolean platformChecksFencing,
      int engineCount,
      EngineSettings engineSettings,
      String policy) {
    this(
        voters,
        entries,
        platformChecksFencing,
        engineCount,
        engineSettings,
        policy,
        FIRST_BYTE_TIMEOUT);
  }

  private Cluster(
      int voters,
      int entries,
      boolean platformChecksFencing,
      int engineCount,
      EngineSettings engineSettings,
      String policy,
      Duration firstByteTimeout) {
    this.firstByteTimeout = firstByteTimeout;
    this.voters = voters;
    this.policy = policy;
    this.engineSettings = engineSettings;
    this.folder = createFolder();
    this.platform = new Platform(0, platformChecksFencing);
    this.platformProxy = new FaultProxy(0, platform.port(), 2);
    IntStream.range(0, engineCount).forEach(i -> addEngine());
    IntStream.rangeClosed(1, voters + entries)
        .forEach(
            i -> vms.add(new Vm("vm" + i, PortRange.freePort(), PortRange.freePort(), folder)));
    vms.forEach(this::writeSettings);
  }

  /** Returns a cluster of three running voters with a configuration in force. */
  static Cluster started() {
    return started(3, 0);
  }

  static Cluster started(int voters, int entries) {
    return start(new Cluster(voters, entries, true));
  }

  /**
   * Returns a running cluster whose backend servers have very long to respond, for tests that
   * expect a response however slow the machine is.
   */
  static Cluster startedWithPatience(int voters, int entries) {
    return start(new Cluster(voters, entries, LONG_FIRST_BYTE_TIMEOUT));
  }

  private static Cluster start(Cluster cluster) {
    cluster.vms.forEach(Vm::start);
    cluster.awaitReady();
    cluster.configure();
    return cluster;
  }

  private static Path createFolder() {
    try {
      return Files.createTempDirectory("endivemux");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private void addEngine() {
    Engine engine = new Engine(0, engineSettings);
    engines.add(engine);
    engineProxies.add(new FaultProxy(0, engine.port(), engines.size()));
  }

  private void writeSettings(Vm vm) {
    int number = vms.indexOf(vm) + 1;
    String voterAddresses =
        vms.stream()
            .limit(voters)
            .map(to -> to.name + ": \"127.0.0.1:" + peerPort(vm, to) + "\"")
            .collect(Collectors.joining(", "));
    String settings =
        Stream.of(
                "vm: " + vm.name,
                "failureDomain: d" + ((number - 1) % 4 + 1),
                "httpAddress: 127.0.0.1:" + vm.httpPort,
                "peerAddress: 127.0.0.1:" + vm.peerPort,
                number <= voters ? "dataFolder: " + vm.dataFolder() : "",
                "voters: {" + voterAddresses + "}",
                "platform: 127.0.0.1:" + platformProxy.port(),
                "policy: " + policy,
                "operatorKeyDigest: " + Keys.digest(OPERATOR),
                "entriesLifetimeSeconds: 1",
                "usageWindowSeconds: 2",
                "firstByteMillis: " + firstByteTimeout.toMillis(),
                "betweenBytesMillis: 1500")
            .filter(line -> !line.isEmpty())
            .collect(Collectors.joining("\n", "", "\n"));
    try {
      Files.writeString(vm.settings(), settings);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private int peerPort(Vm from, Vm to) {
    return from == to
        ? to.peerPort
        : links
            .computeIfAbsent(
                from.name + ">" + to.name, name -> new FaultProxy(0, to.peerPort, links.size()))
            .port();
  }

  /** Sets the proxy mode of all links from and to one VM. */
  void links(Vm vm, FaultProxy.Mode mode) {
    links.entrySet().stream()
        .filter(
            link ->
                link.getKey().startsWith(vm.name + ">") || link.getKey().endsWith(">" + vm.name))
        .forEach(link -> link.getValue().mode(mode));
  }

  /** Sets the proxy mode of the links that one VM opens. */
  void linksFrom(Vm vm, FaultProxy.Mode mode) {
    links.entrySet().stream()
        .filter(link -> link.getKey().startsWith(vm.name + ">"))
        .forEach(link -> link.getValue().mode(mode));
  }

  void allLinks(java.util.function.Consumer<FaultProxy> action) {
    links.values().forEach(action);
  }

  void awaitReady() {
    Await.until(
        "all VMs ready", () -> vms.stream().filter(Vm::shouldBeRunning).allMatch(Cluster::isReady));
  }

  static boolean isReady(Vm vm) {
    return Http.call("GET", vm.url("/readyz"), "", Map.of(), "").status() == 200;
  }

  String declaration(String... extraOrganisations) {
    String organisations =
        Stream.concat(Stream.of("eggs", "honey"), Stream.of(extraOrganisations))
            .map(id -> "{\"id\":\"" + id + "\",\"share\":1,\"classes\":[\"summary\"]}")
            .collect(Collectors.joining(","));
    String servers =
        IntStream.range(0, engines.size())
            .mapToObj(
                i ->
                    server(
                        "engine-" + (i + 1),
                        engineProxies.get(i).port(),
                        engines.size() > 2 && i % 2 == 1 ? "cheap" : "steady",
                        i / 2 % 4 + 1,
                        "assistant",
                        engineSettings.slots()))
            .collect(Collectors.joining(","));
    return "{\"organisations\":["
        + organisations
        + "],\"classes\":["
        + requestClass("sale", 0, true, 300, 8000, 0)
        + ","
        + requestClass("chat", 1, false, 840, 8000, 0.1)
        + ","
        + requestClass("summary", 3, false, 60000, 60000, 0.05)
        + "],\"routes\":["
        + "{\"type\":\"MODEL\",\"name\":\"assistant\",\"requestClass\":\"chat\",\"repeatable\":true},"
        + "{\"type\":\"SERVICE\",\"name\":\"till\",\"requestClass\":\"sale\",\"repeatable\":false}"
        + "],\"backendServers\":["
        + servers
        + ","
        + server("till-1", tillProxy.port(), "steady", 1, "till", 64)
        + "],\"budgetPerHour\":100}";
  }

  private static String requestClass(
      String name, int tier, boolean isProtected, int target, int maxWait, double floor) {
    return "{\"name\":\"%s\",\"tier\":%d,\"protectedTier\":%b,\"targetMillis\":%d,\"patienceMillis\":%d,\"floorShare\":%s}"
        .formatted(name, tier, isProtected, target, maxWait, floor);
  }

  private static String server(
      String id, int port, String kind, int domain, String serves, int capacity) {
    return "{\"id\":\"%s\",\"address\":\"127.0.0.1:%d\",\"failureDomain\":\"d%d\",\"kind\":\"%s\",\"serves\":[\"%s\"],\"room\":%d,\"costPerHour\":1,\"checksFencing\":true}"
        .formatted(id, port, domain, kind, serves, capacity);
  }

  /** Plans and confirms a declaration with these additional organisations. */
  Http.Response configure(String... extraOrganisations) {
    String plan = UUID.randomUUID().toString();
    Http.Response planned = plan(vms.get(0), plan, declaration(extraOrganisations));
    if (planned.status() != 200) {
      throw new AssertionError(planned.body());
    }
    return confirm(vms.get(0), plan);
  }

  static Http.Response plan(Vm vm, String plan, String declaration) {
    String body = "{\"plan\":\"" + plan + "\",\"declaration\":" + declaration + "}";
    return Http.call("POST", vm.url("/v1/plans"), OPERATOR, Map.of(), body);
  }

  static Http.Response confirm(Vm vm, String plan) {
    return Http.call("POST", vm.url("/v1/plans/" + plan + "/confirm"), OPERATOR, Map.of(), "");
  }

  /** Creates a caller key for an organisation. */
  String key(String organisation) {
    String key = "emx_" + UUID.randomUUID();
    String body =
        "{\"digest\":\"%s\",\"organisation\":\"%s\",\"role\":\"CALLER\",\"label\":\"test\"}"
            .formatted(Keys.digest(key), organisation);
    Http.Response created = Http.call("POST", vms.get(0).url("/v1/keys"), OPERATOR, Map.of(), body);
    if (created.status() != 200) {
      throw new AssertionError(created.body());
    }
    return key;
  }

  static Http.Response withdraw(Vm vm, String key) {
    return Http.call("DELETE", vm.url("/v1/keys/" + Keys.digest(key)), OPERATOR, Map.of(), "");
  }

  static String newIdempotencyKey() {
    return IdempotencyTime.of(System.currentTimeMillis(), IDS.nextLong(), IDS.nextLong()).value();
  }

  static Http.Response sale(Vm vm, String key, String idempotencyKey, String body) {
    return Http.call(
        "POST",
        vm.url("/services/till/sales"),
        key,
        Map.of("Idempotency-Key", idempotencyKey),
        body);
  }

  static java.util.concurrent.CompletableFuture<Http.Response> saleAsync(
      Vm vm, String key, String idempotencyKey) {
    return Http.callAsync(
        "POST",
        vm.url("/services/till/sales"),
        key,
        Map.of("Idempotency-Key", idempotencyKey),
        "{}");
  }

  static String chatBody(int tokens, boolean stream) {
    return "{\"model\":\"assistant\",\"stream\":%b,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"eggs?\"}]}"
        .formatted(stream, tokens);
  }

  static Http.Response chat(Vm vm, String key, int tokens, boolean stream) {
    return Http.call(
        "POST", vm.url("/v1/chat/completions"), key, Map.of(), chatBody(tokens, stream));
  }

  /** Returns the leader's status from the first VM that can provide it. */
  com.fasterxml.jackson.databind.JsonNode status() {
    return vms.stream()
        .filter(Vm::isRunning)
        .map(vm -> Http.call("GET", vm.url("/v1/status"), OPERATOR, Map.of(), ""))
        .filter(response -> response.status() == 200)
        .findFirst()
        .orElseThrow(() -> new AssertionError("No VM returned the status of a leader."))
        .json();
  }

  Vm leader() {
    return vm(status().path("leader").asText());
  }

  Vm vm(String name) {
    return vms.stream().filter(vm -> vm.name.equals(name)).findFirst().orElseThrow();
  }

  Vm other(Vm vm) {
    return vms.stream().filter(it -> it != vm).findFirst().orElseThrow();
  }

  @Override
  public void close() {
    vms.forEach(Vm::kill);
    links.values().forEach(FaultProxy::close);
    engineProxies.forEach(FaultProxy::close);
    engines.forEach(Engine::close);
    tillProxy.close();
    till.close();
    platformProxy.close();
    platform.close();
  }
}
