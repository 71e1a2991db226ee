package org.endivemux.integration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.platform.standin.BrokenAnswer;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.InvariantChecker;
import org.endivemux.platform.standin.OperatorStandIn;
import org.endivemux.platform.standin.PlatformStandIn;
import org.endivemux.testing.FaultProxy;

/**
 * Runs the real processes of a gateway on separate loopback addresses, together with stand-ins. A
 * fault proxy is in front of every peer port, every backend server and the platform.
 *
 * <p>Used by one test.
 */
final class GatewayFleet implements AutoCloseable {
  private static final int PEER_PORT = 7340;
  private static final int ENGINE_PORT = 8080;
  private static final int PLATFORM_PORT = 8223;
  private static final int CALLERS_PORT = 8227;
  private static final int READINESS_PORT = 8220;
  private static final int OPERATOR_PORT = 8229;
  private static final int VOTERS = 3;
  private static final int FIRST_VM_NUMBER = 10;

  /** Added to the last octet of the proxy's address to get the process's own address. */
  private static final int REAL_ADDRESS_OFFSET = 100;

  private static final Pattern LEADS = Pattern.compile("leads\\S* 1(\\.0)?\n");
  private static final Pattern MEMBERSHIP =
      Pattern.compile(
          "event=membership_committed term=\\d+ index=(\\d+) voters=(\\S+) learners=(\\S*) ");

  /** Each fleet of a test process has its own loopback network. */
  private static final AtomicInteger NEXT_NETWORK = new AtomicInteger();

  private static final int FIRST_NETWORK = 50;

  final InvariantChecker witness = new InvariantChecker();
  final OperatorStandIn operator = new OperatorStandIn(witness);
  final List<Vm> voters = new ArrayList<>();
  final List<Vm> entries = new ArrayList<>();
  final List<EngineStandIn> engines = new ArrayList<>();
  final List<FaultProxy> engineProxies = new ArrayList<>();
  final List<FaultProxy> peerProxies = new ArrayList<>();
  private final Map<Vm, Integer> vmNumbers = new HashMap<>();
  final PlatformStandIn platform;
  final FaultProxy platformProxy;
  final Path logs = createFolder();
  private final String network =
      "127." + (FIRST_NETWORK + PortRange.number()) + "." + NEXT_NETWORK.getAndIncrement() + ".";
  private List<BrokenAnswer> brokenAnswers = List.of();
  private int brokenPercent;
  private int enginesStarted;
  private int lostVoters;
  private int nextVmNumber = FIRST_VM_NUMBER;
  private int engineAddressOffset;
  private Duration serverDrain = Duration.ofSeconds(3);

  GatewayFleet(int entryCount, int engineCount) {
    platform = new PlatformStandIn(at(8, PLATFORM_PORT), witness);
    platformProxy = new FaultProxy(at(9, PLATFORM_PORT), at(8, PLATFORM_PORT), 1);
    IntStream.range(0, engineCount).forEach(this::addEngine);
    listEngines();
    IntStream.range(0, VOTERS).forEach(i -> voters.add(vm("voter" + (i + 1))));
    IntStream.range(0, entryCount).forEach(i -> entries.add(vm("entry" + (i + 1))));
    vms().forEach(vm -> peerProxies.add(peerProxy(vm)));
    entries.forEach(
        entry ->
            entry.onStart(
                () -> witness.notices().entryStarts(callersAddress(entry), System.nanoTime())));
    writeSettings(true);
  }

  private static Path createFolder() {
    try {
      return Files.createTempDirectory("gateway");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private InetSocketAddress at(int number, int port) {
    return new InetSocketAddress(network + number, port);
  }

  private Vm vm(String name) {
    Vm vm = new Vm(name, 0, PEER_PORT, logs, "--gateway-settings");
    vmNumbers.put(vm, nextVmNumber++);
    return vm;
  }

  /** Returns all VMs, the voters first. */
  List<Vm> vms() {
    return Stream.concat(voters.stream(), entries.stream()).toList();
  }

  private int number(Vm vm) {
    return vmNumbers.get(vm);
  }

  /**
   * Loses a voter with its disk for good and starts a successor with an empty disk at a new
   * address, which knows the voters of before.
   */
  void replaceVoter(int index) {
    String contacts = contacts();
    voters.get(index).lose();
    peerProxies.get(index).close();
    lostVoters++;
    Vm successor = vm("voter" + (VOTERS + lostVoters));
    voters.set(index, successor);
    peerProxies.set(index, peerProxy(successor));
    writeSettings(successor, contacts, false);
    successor.start();
  }

  /** Returns the index of the voter that leads, if one says so. */
  Optional<Integer> leader() {
    return IntStream.range(0, voters.size())
        .boxed()
        .filter(index -> voters.get(index).isRunning())
        .filter(index -> LEADS.matcher(metrics(voters.get(index))).find())
        .findFirst();
  }

  private String metrics(Vm voter) {
    return Http.call("GET", "http://" + operatorAddress(voter) + "/metrics", "", Map.of(), "")
        .body();
  }

  /** Returns the index of the newest log entry that holds a membership; 0 if there is none. */
  long membershipIndex() {
    return newestMembership().map(committed -> Long.parseLong(committed.group(1))).orElse(0L);
  }

  /** Returns whether exactly the present voters are members, by a change after a log entry. */
  boolean isWholeAfter(long index) {
    Set<String> present =
        voters.stream()
            .map(voter -> network + number(voter) + ":" + PEER_PORT)
            .collect(Collectors.toSet());
    return newestMembership()
        .filter(committed -> Long.parseLong(committed.group(1)) > index)
        .filter(committed -> Set.of(committed.group(2).split(",")).equals(present))
        .filter(committed -> committed.group(3).isEmpty())
        .isPresent();
  }

  private Optional<MatchResult> newestMembership() {
    return voters.stream()
        .flatMap(voter -> MEMBERSHIP.matcher(voter.logText()).results())
        .max(Comparator.comparingLong(committed -> Long.parseLong(committed.group(1))));
  }

  private FaultProxy peerProxy(Vm vm) {
    int number = number(vm);
    return new FaultProxy(
        at(number, PEER_PORT), at(number + REAL_ADDRESS_OFFSET, PEER_PORT), number);
  }

  private void addEngine(int index) {
    engines.add(startEngine(index));
    engineProxies.add(
        new FaultProxy(
            at(50 + index, ENGINE_PORT), at(50 + index + REAL_ADDRESS_OFFSET, ENGINE_PORT), index));
  }

  private EngineStandIn startEngine(int index) {
    enginesStarted++;
    EngineStandIn engine =
        new EngineStandIn(
            "i-" + enginesStarted,
            version(enginesStarted),
            at(50 + index + REAL_ADDRESS_OFFSET, ENGINE_PORT),
            witness);
    engine.breakAnswers(brokenAnswers, brokenPercent);
    return engine;
  }

  /** Lets all backend servers, later ones too, break a share of their answers in the given ways. */
  void breakAnswers(List<BrokenAnswer> kinds, int percent) {
    brokenAnswers = kinds;
    brokenPercent = percent;
    engines.forEach(engine -> engine.breakAnswers(kinds, percent));
  }

  /** Returns the version of a backend server; some of those that replace others have a new one. */
  private static String version(int number) {
    return number % 3 == 0 ? "v2" : "v1";
  }

  /** Replaces a backend server by a new one with another id at the same address. */
  void replaceEngine(int index) {
    engines.get(index).close();
    engines.set(index, startEngine(index));
    listEngines();
  }

  /** Replaces the backend servers that have said that they leave, which get no requests. */
  void replaceLeavingEngines() {
    IntStream.range(0, engines.size())
        .filter(index -> engines.get(index).hasSaidThatItLeaves())
        .forEach(this::replaceEngine);
  }

  /** Lists the backend servers at their own addresses, without the fault proxies. */
  void bypassEngineProxies() {
    engineAddressOffset = REAL_ADDRESS_OFFSET;
    listEngines();
  }

  /** Lists all backend servers at the platform; every second one serves the route of the tills. */
  void listEngines() {
    platform.updateServers(
        IntStream.range(0, engines.size())
            .mapToObj(
                i ->
                    PlatformStandIn.serverItem(
                        engines.get(i).id(),
                        i % 2 == 0 ? "till" : "llm",
                        network + (50 + i + engineAddressOffset) + ":" + ENGINE_PORT,
                        "d" + i % 3,
                        engines.get(i).version()))
            .toList());
  }

  /** Sets how long backend servers serve after they are listed as leaving; before the start. */
  void serverDrain(Duration drain) {
    serverDrain = drain;
    writeSettings(true);
  }

  /** Writes the settings of all VMs; only on a first start may voters bootstrap a new cluster. */
  void writeSettings(boolean mayForm) {
    String contacts = contacts();
    vms().forEach(vm -> writeSettings(vm, contacts, mayForm));
  }

  private String contacts() {
    return voters.stream()
        .map(voter -> "\"" + network + number(voter) + ":" + OPERATOR_PORT + "\"")
        .collect(Collectors.joining(", "));
  }

  private void writeSettings(Vm vm, String contacts, boolean mayForm) {
    String listenHost = network + (number(vm) + REAL_ADDRESS_OFFSET);
    Stream<String> roles =
        voters.contains(vm)
            ? Stream.of(
                "dataFolder: " + vm.dataFolder(),
                "operatorAddress: " + listenHost + ":" + OPERATOR_PORT)
            : Stream.of(
                "callersAddress: " + listenHost + ":" + CALLERS_PORT,
                "readinessAddress: " + listenHost + ":" + READINESS_PORT);
    Stream<String> common =
        Stream.of(
            "vm: " + vm.name,
            "failureDomain: d" + (number(vm) - FIRST_VM_NUMBER) % 3,
            "host: " + network + number(vm),
            "listenHost: " + listenHost,
            "peerPort: " + PEER_PORT,
            "contacts: [" + contacts + "]",
            "mayForm: " + mayForm,
            "platformAddress: " + network + 9 + ":" + PLATFORM_PORT,
            "usageWindowSeconds: 2",
            "retryRatio: 0.2",
            "retryWindowSeconds: 10",
            "retrySlack: 50",
            "drainSeconds: 4",
            "serverDrainMillis: " + serverDrain.toMillis(),
            "entriesLifetimeSeconds: 1");
    try {
      Files.writeString(
          vm.settings(), Stream.concat(common, roles).collect(Collectors.joining("\n", "", "\n")));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  String operatorAddress(Vm voter) {
    return network + (number(voter) + REAL_ADDRESS_OFFSET) + ":" + OPERATOR_PORT;
  }

  String callersAddress(Vm entry) {
    return network + (number(entry) + REAL_ADDRESS_OFFSET) + ":" + CALLERS_PORT;
  }

  InetSocketAddress callersSocket(Vm entry) {
    return at(number(entry) + REAL_ADDRESS_OFFSET, CALLERS_PORT);
  }

  /** Starts all VMs, stores a first configuration and returns once every entry is ready. */
  void start() {
    vms().forEach(Vm::start);
    Await.until(
        "a first configuration is acknowledged",
        () -> voters.stream().anyMatch(voter -> operator.put(operatorAddress(voter), 1)));
    writeSettings(false);
    awaitReady();
  }

  void awaitReady() {
    Await.until(
        "all entries ready",
        () -> entries.stream().allMatch(entry -> readinessStatus(entry) == 200));
  }

  /** Returns the status with which an entry tells whether it is ready. */
  int readinessStatus(Vm entry) {
    String url = "http://" + network + (number(entry) + REAL_ADDRESS_OFFSET) + ":" + READINESS_PORT;
    return Http.call("GET", url + "/v1/readiness", "", Map.of(), "").status();
  }

  @Override
  public void close() {
    vms().forEach(Vm::kill);
    peerProxies.forEach(FaultProxy::close);
    engineProxies.forEach(FaultProxy::close);
    engines.forEach(EngineStandIn::close);
    platformProxy.close();
    platform.close();
  }
}
