import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Runs the project's own processes on loopback addresses, beside a stand-in for the platform.
 *
 * <p>Used by one thread, except for {@link #record}.
 */
final class Bed implements AutoCloseable {
  static final int PEER_PORT = 7340;
  static final int ENGINE_PORT = 8080;
  static final int CALLERS_PORT = 8227;
  static final int READINESS_PORT = 8220;
  static final int OPERATOR_PORT = 8229;
  static final int PLATFORM_PORT = 8223;
  static final int CASE_BROKEN = 1;
  static final int CASE_UNABLE = 2;
  private static final long START_LIMIT_MILLIS = 40_000;

  /** Whether the script plays its disruption; TROUBLE=0 leaves it out. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final String network;
  private final long startedAt = System.nanoTime();
  private final PrintWriter record;
  private final Path folder;
  private final List<String> run;
  private final Map<String, Process> processes = new ConcurrentHashMap<>();
  private final List<String> voters;
  private final List<String> entries;
  private final List<String> servers = new ArrayList<>();
  private final StubServer platform;

  Bed(Path caseFolder, int voterCount, int entryCount) {
    try {
      this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
      this.folder = Files.createTempDirectory("review");
      this.run = runCommand();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    this.network = freeNetwork();
    this.voters = IntStream.rangeClosed(1, voterCount).mapToObj(i -> "voter" + i).toList();
    this.entries = IntStream.rangeClosed(1, entryCount).mapToObj(i -> "entry" + i).toList();
    this.platform = new StubServer(network + "9", PLATFORM_PORT, (q, out, c) -> platform(q, out));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killProcesses));
  }

  private void killProcesses() {
    processes.values().forEach(Process::destroyForcibly);
  }

  /** Returns the words of the deploy file's command of the entries. */
  private static List<String> runCommand() throws IOException {
    String line =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(text -> text.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
  }

  private static String freeNetwork() {
    Random random = new Random();
    for (int i = 0; i < 50; i++) {
      String candidate = "127." + (60 + random.nextInt(60)) + "." + random.nextInt(250) + ".";
      try {
        new ServerSocket(PLATFORM_PORT, 1, InetAddress.getByName(candidate + "9")).close();
        return candidate;
      } catch (IOException e) {
        // Another test uses this network.
      }
    }
    throw new IllegalStateException("no free loopback network");
  }

  synchronized void record(String text) {
    long millis = (System.nanoTime() - startedAt) / 1_000_000;
    record.println(millis + " " + text);
    record.flush();
  }

  private boolean platform(HttpMessage request, java.io.OutputStream out) throws IOException {
    byte[] body;
    synchronized (servers) {
      body =
          request.path().startsWith(Names.of("list"))
              ? ("{\"instances\":[" + String.join(",", servers) + "],\"nextToken\":null}")
                  .getBytes(StandardCharsets.UTF_8)
              : "{}".getBytes(StandardCharsets.UTF_8);
    }
    StubServer.respond(out, 200, body, "Content-Type: application/json");
    return true;
  }

  /** Lists a backend server at the platform. */
  void list(String id, String service, String host, int slots, String zone) {
    synchronized (servers) {
      servers.add(
          "{\"id\":\"" + id + "\",\"service\":\"" + service + "\",\"address\":\"" + host + ":"
              + ENGINE_PORT + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
              + ",\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1780000000000}");
    }
  }

  List<String> entries() {
    return entries;
  }

  List<String> voters() {
    return voters;
  }

  private String host(String vm) {
    int number = Integer.parseInt(vm.replaceAll("[^0-9]", ""));
    return network + (vm.startsWith("voter") ? 10 + number : 30 + number);
  }

  String callers(String entry) {
    return host(entry) + ":" + CALLERS_PORT;
  }

  String operator(String voter) {
    return host(voter) + ":" + OPERATOR_PORT;
  }

  String readiness(String entry) {
    return host(entry) + ":" + READINESS_PORT;
  }

  Path log(String vm) {
    return folder.resolve(vm + ".log");
  }

  Process process(String vm) {
    return processes.get(vm);
  }

  private void writeSettings(String vm, boolean mayForm) throws IOException {
    boolean isVoter = vm.startsWith("voter");
    int number = Integer.parseInt(vm.replaceAll("[^0-9]", ""));
    String contacts =
        voters.stream()
            .limit(3)
            .map(voter -> "\"" + operator(voter) + "\"")
            .collect(Collectors.joining(", "));
    Stream<String> own =
        isVoter
            ? Stream.of(
                "dataFolder: \"" + folder.resolve(vm + "-data") + "\"",
                "operatorAddress: \"" + operator(vm) + "\"")
            : Stream.of(
                "callersAddress: \"" + callers(vm) + "\"",
                "readinessAddress: \"" + readiness(vm) + "\"",
                "directoryAddress: \"" + host(vm) + ":8224\"");
    Stream<String> common =
        Stream.of(
            "vm: " + vm,
            "failureDomain: z" + number % 3,
            "host: " + host(vm),
            "peerPort: " + PEER_PORT,
            "contacts: [" + contacts + "]",
            "mayForm: " + mayForm,
            "platformAddress: " + network + "9:" + PLATFORM_PORT,
            "usageWindowSeconds: 5",
            "retryRatio: 0.2",
            "retryWindowSeconds: 10",
            "retrySlack: 52",
            "drainSeconds: 8",
            "entriesLifetimeSeconds: 2");
    Files.writeString(
        folder.resolve(vm + ".yaml"),
        Stream.concat(common, own).collect(Collectors.joining("\n", "", "\n")));
  }

  /** Starts one process with the deploy file's command and its own settings. */
  Process start(String vm, boolean mayForm) throws IOException {
    writeSettings(vm, mayForm);
    String settings = folder.resolve(vm + ".yaml").toString();
    List<String> words =
        run.stream()
            .map(word -> word.equals("/etc/endivemux/boot.toml") ? settings : word)
            .toList();
    Process process =
        new ProcessBuilder(words)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log(vm).toFile()))
            .start();
    processes.put(vm, process);
    record("started " + vm + " pid=" + process.pid());
    return process;
  }

  /** Starts all processes, stores a first configuration and waits until all entries are ready. */
  void start() throws Exception {
    for (String vm : Stream.concat(voters.stream(), entries.stream()).toList()) {
      start(vm, true);
    }
    until("a configuration is acknowledged", () -> put(1, "") == 200);
    until("all entries are ready", () -> entries.stream().allMatch(this::isReady));
  }

  boolean isReady(String entry) {
    try {
      return Call.send(readiness(entry), 1000, "GET", Names.of("ready"), new byte[0], "Host: x")
              .status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a configuration to each voter in turn; returns the last status, or 0 without any. */
  int put(long version, String moreRoutes) {
    int status = 0;
    for (String voter : voters) {
      try {
        status = put(voter, config(version, moreRoutes), 2000);
      } catch (IOException e) {
        continue;
      }
      if (status == 200) {
        return status;
      }
    }
    return status;
  }

  int put(String voter, byte[] document, int waitMillis) throws IOException {
    return Call.send(operator(voter), waitMillis, "POST", Names.of("put"), document,
            "Host: x", "Content-Type: application/json")
        .status();
  }

  static byte[] config(long version, String moreRoutes) throws IOException {
    return Files.readString(Path.of("review/lib/config.json"))
        .replace("@VERSION@", Long.toString(version))
        .replace("@ROUTES@", moreRoutes)
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Waits for a condition; throws if it does not come to hold in time. */
  void until(String what, Condition condition) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_LIMIT_MILLIS);
    while (!condition.holds()) {
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException("not reached: " + what);
      }
      Thread.sleep(100);
    }
    record(what);
  }

  /** Tells whether something has come to hold. */
  interface Condition {
    boolean holds() throws Exception;
  }

  void signal(String vm, String signal) throws Exception {
    record("signal " + signal + " to " + vm);
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(vm).pid()))
        .start()
        .waitFor();
  }

  @Override
  public void close() {
    killProcesses();
    processes.values().forEach(Bed::await);
    platform.close();
    record.close();
    delete(folder);
  }

  private static void await(Process process) {
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void delete(Path folder) {
    try (Stream<Path> paths = Files.walk(folder)) {
      paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
