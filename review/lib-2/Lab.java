import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: real voters and entries, started with the deploy file's command and template,
 * on loopback addresses of their own, beside a stand-in for the platform.
 *
 * <p>Closing it ends all processes and removes the temporary folder; the end of this process ends
 * them, too. Used by one thread, except for {@link #note}, which is thread-safe.
 */
final class Lab implements AutoCloseable {
  static final int CALLERS_PORT = 8227;
  static final int OPERATOR_PORT = 8229;
  static final int SERVER_PORT = 8080;
  private static final int READY_PORT = 8220;
  private static final int DIRECTORY_PORT = 8224;
  private static final int PLATFORM_PORT = 8223;
  private static final int PEER_PORT = 7340;
  private static final int FIRST_VOTER = 10;
  private static final int FIRST_ENTRY = 40;
  private static final int PLATFORM = 8;
  private static final Path REPOSITORY = Path.of("").toAbsolutePath();
  private static final Pattern RUN = Pattern.compile("(?ms)^\\[roles\\.(\\w+)\\]\\s+run = \"(.*?)\"$");
  private static final HttpClient HTTP =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  static final Properties NAMES = names();

  final PlatformStandIn platform;
  final List<Vm> voters = new ArrayList<>();
  final List<Vm> entries = new ArrayList<>();
  private final String network;
  private final Path folder;
  private final long startedAt = System.nanoTime();
  private int nextVoter;

  /** Name of the file with the configuration. */
  String config = "config.json";
  private final PrintWriter record;

  Lab(Path recordFile, int voterCount, int entryCount) throws IOException {
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile));
    this.folder = Files.createTempDirectory("review");
    long pid = ProcessHandle.current().pid();
    this.network = "127." + (100 + pid % 100) + "." + (1 + pid / 100 % 250) + ".";
    this.platform = new PlatformStandIn(at(PLATFORM, PLATFORM_PORT), this);
    for (int i = 0; i < voterCount; i++) {
      voters.add(new Vm("voter" + i, "voter", FIRST_VOTER + i));
    }
    this.nextVoter = voterCount;
    Runtime.getRuntime().addShutdownHook(new Thread(() -> all().forEach(Vm::end)));
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Vm("entry" + i, "entry", FIRST_ENTRY + i));
    }
  }

  private static Properties names() {
    Properties names = new Properties();
    try (InputStream in = Files.newInputStream(Path.of("review/lib-2/names.properties"))) {
      names.load(in);
      return names;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String name(String key) {
    return NAMES.getProperty(key);
  }

  String host(int number) {
    return network + number;
  }

  InetSocketAddress at(int number, int port) {
    return new InetSocketAddress(host(number), port);
  }

  /** Writes a line with the time since the start to the record. */
  synchronized void note(String text) {
    record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
    record.flush();
  }

  static void sleep(long millis) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Starts all VMs for the first time and puts the first configuration into force. */
  void start(long version) throws IOException {
    for (Vm vm : all()) {
      vm.start(true);
    }
    if (!put(version, 30_000)) {
      throw new IOException("The first configuration was not acknowledged.");
    }
    for (Vm entry : entries) {
      awaitReady(entry);
    }
  }

  private List<Vm> all() {
    return Stream.concat(voters.stream(), entries.stream()).toList();
  }

  private void awaitReady(Vm entry) throws IOException {
    long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
    while (status(entry.number, READY_PORT, name("ready")) != 200) {
      if (System.nanoTime() > end) {
        throw new IOException(entry.name + " is not ready.");
      }
      sleep(100);
    }
    note(entry.name + " is ready");
  }

  private int status(int number, int port, String path) {
    try {
      return HTTP.send(
              HttpRequest.newBuilder(URI.create("http://" + host(number) + ":" + port + path))
                  .timeout(Duration.ofSeconds(1))
                  .build(),
              HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends a configuration to the voters in turn, as operators do, until one acknowledges it. */
  boolean put(long version, long limitMillis) throws IOException {
    String text =
        Files.readString(Path.of("review/lib-2/" + config)).replace("@VERSION@", "" + version);
    long end = System.nanoTime() + Duration.ofMillis(limitMillis).toNanos();
    for (int turn = 0; System.nanoTime() < end; turn++) {
      Vm voter = voters.get(turn % voters.size());
      try {
        HttpResponse<String> response =
            HTTP.send(
                HttpRequest.newBuilder(
                        URI.create(
                            "http://" + host(voter.number) + ":" + OPERATOR_PORT + name("put")))
                    .timeout(Duration.ofSeconds(2))
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(text))
                    .build(),
                HttpResponse.BodyHandlers.ofString());
        note("operator: version " + version + " to " + voter.name + " -> " + response.statusCode());
        if (response.statusCode() == 200) {
          return true;
        }
      } catch (IOException e) {
        note("operator: version " + version + " to " + voter.name + " -> " + e.getClass().getSimpleName());
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      sleep(200);
    }
    return false;
  }

  /** Removes a voter for good: its process is killed, and its disk is not used again. */
  void remove(Vm voter) {
    voter.end();
    voters.remove(voter);
    note(voter.name + " was killed and is gone for good");
  }

  /** Adds a voter with an empty disk at a new address. */
  void addVoter() throws IOException {
    Vm added = new Vm("voter" + nextVoter, "voter", FIRST_VOTER + nextVoter);
    nextVoter++;
    voters.add(added);
    added.start(false);
  }

  /** Returns the voter that says that it leads, if there is one. */
  Optional<Vm> leader() {
    return voters.stream().filter(it -> text(it, "/metrics").matches("(?s).*leads[^\\n]* 1(\\.0)?\\n.*")).findFirst();
  }

  /** Waits for a leader; returns none if there is none within the limit. */
  Optional<Vm> awaitLeader(long limitMillis) {
    long end = System.nanoTime() + Duration.ofMillis(limitMillis).toNanos();
    Optional<Vm> leader = leader();
    while (leader.isEmpty() && System.nanoTime() < end) {
      sleep(100);
      leader = leader();
    }
    return leader;
  }

  /** Returns the version that a voter reads back; 0 if it does not answer with one. */
  long version(Vm voter) {
    Matcher found = Pattern.compile("\"version\":(\\d+)").matcher(text(voter, name("get")));
    return found.find() ? Long.parseLong(found.group(1)) : 0;
  }

  private String text(Vm voter, String path) {
    try {
      HttpResponse<String> response =
          HTTP.send(
              HttpRequest.newBuilder(
                      URI.create("http://" + host(voter.number) + ":" + OPERATOR_PORT + path))
                  .timeout(Duration.ofSeconds(2))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      return response.statusCode() == 200 ? response.body() : "";
    } catch (IOException e) {
      return "";
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    all().forEach(Vm::end);
    platform.close();
    record.close();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** One VM with its process. */
  final class Vm {
    final String name;
    final int number;
    private final String role;
    private Process process;

    Vm(String name, String role, int number) {
      this.name = name;
      this.role = role;
      this.number = number;
    }

    void start(boolean first) throws IOException {
      Path settings = folder.resolve(name + ".yaml");
      Files.writeString(settings, settings(first));
      String command = command().replace("/etc/endivemux/boot.toml", settings.toString());
      process =
          new ProcessBuilder(command.split(" "))
              .directory(REPOSITORY.toFile())
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
              .start();
      note(name + " started");
    }

    private String command() throws IOException {
      Matcher run = RUN.matcher(Files.readString(REPOSITORY.resolve("deploy/system.toml")));
      while (run.find()) {
        if (run.group(1).equals(role)) {
          return run.group(2);
        }
      }
      throw new IOException("The deploy file has no role " + role + ".");
    }

    private String settings(boolean first) throws IOException {
      boolean isVoter = role.equals("voter");
      Map<String, String> values = new HashMap<>();
      values.put("node", quoted(name));
      values.put("zone", quoted("z" + number % 3));
      values.put("ip", quoted(host(number)));
      values.put("internalPorts.0", "" + PEER_PORT);
      values.put(
          "seeds",
          voters.stream()
              .limit(3)
              .map(it -> quoted(host(it.number) + ":" + OPERATOR_PORT))
              .toList()
              .toString());
      values.put("bootstrap", "" + first);
      values.put("dataDir", isVoter ? quoted(folder.resolve(name).toString()) : "null");
      values.put("listen.front", isVoter ? "null" : address(CALLERS_PORT));
      values.put("listen.readiness", isVoter ? "null" : address(READY_PORT));
      values.put("listen.directory", isVoter ? "null" : address(DIRECTORY_PORT));
      values.put("listen.control", isVoter ? address(OPERATOR_PORT) : "null");
      values.put("cloud.address", quoted(host(PLATFORM) + ":" + PLATFORM_PORT));
      values.put("bounds.reportWindowS", "5");
      values.put("bounds.retryRatio", "0.2");
      values.put("bounds.retryWindowS", "10");
      values.put("bounds.retrySlack", "52");
      values.put("bounds.graceS", "8");
      values.put("limits.cpuShare", "0.75");
      values.put("limits.linkMbps", "1000.0");
      values.put(
          "contracts",
          Stream.of("base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                  "tenants", "leader")
              .map(Lab::quoted)
              .toList()
              .toString());
      return Pattern.compile("\\{\\{([^}|]+)(\\|json)?\\}\\}")
          .matcher(Files.readString(REPOSITORY.resolve("deploy/settings.yaml.tmpl")))
          .replaceAll(it -> Matcher.quoteReplacement(values.getOrDefault(it.group(1), "null")));
    }

    private String address(int port) {
      return quoted(host(number) + ":" + port);
    }

    boolean isRunning() {
      return process.isAlive();
    }

    void end() {
      if (process != null) {
        process.destroyForcibly();
        process.onExit().join();
      }
    }

    /** Copies what the process logged and contains one of the words to the record. */
    void noteLog(String pattern, int most) throws IOException {
      Pattern wanted = Pattern.compile(pattern);
      List<String> lines =
          Files.readAllLines(folder.resolve(name + ".log")).stream()
              .filter(line -> wanted.matcher(line).find())
              .toList();
      note(name + " logged " + lines.size() + " lines with " + pattern);
      lines.stream().limit(most).forEach(line -> note("  " + line));
    }
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }
}
