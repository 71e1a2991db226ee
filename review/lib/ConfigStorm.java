import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Sends large configurations in quick succession, and reads back what is in force afterwards.
 *
 * <p>Exits with 1 if no voter tells the configuration any more, or tells one that is older than the
 * newest acknowledged one. Without the disruption each configuration is sent once the one before
 * has been acknowledged.
 */
final class ConfigStorm {
  private static final int VOTERS = 3;
  private static final int ENTRIES = 2;

  /** The largest growth of one step of the site file, and the number of such steps. */
  private static final int ROUTES_PER_STEP = 410;

  private static final int STEPS = 33;

  /** A change each 80 ms for 2 s, as in the site file, and once more after a pause. */
  private static final int CHANGES = 25;

  private static final int STORMS = 4;
  private static final int STORM_INTERVAL_MILLIS = 14_000;

  private static final int GAP_MILLIS = 80;
  private static final int CALM_GAP_MILLIS = 500;
  private static final int ORDERS_IN_PROGRESS = 8;
  private static final int PUT_WAIT_MILLIS = 2000;
  private static final int FIRST_PAUSE_MILLIS = 50;
  private static final int MAX_PAUSE_MILLIS = 1000;
  private static final int RECOVERY_MILLIS = 12_000;
  private static final int READ_BACK_MILLIS = 15_000;
  private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

  private final Bed bed;
  private final String routes;
  private final AtomicLong newestAcknowledged = new AtomicLong(1);

  private ConfigStorm(Bed bed) throws IOException {
    this.bed = bed;
    String route = Files.readString(Path.of("review/lib/route.json")).stripTrailing();
    this.routes =
        IntStream.range(0, ROUTES_PER_STEP * STEPS)
            .mapToObj(i -> route.replace("@I@", Integer.toString(i)))
            .collect(Collectors.joining());
  }

  public static void main(String[] args) {
    System.exit(exitCode(Path.of(args[0])));
  }

  private static int exitCode(Path folder) {
    try (Bed bed = new Bed(folder, VOTERS, ENTRIES)) {
      new Engine(bed, "i-till0", "till", bed.network + "100", 6, "z0");
      bed.start();
      return new ConfigStorm(bed).play() ? 0 : Bed.CASE_BROKEN;
    } catch (Exception e) {
      e.printStackTrace();
      return Bed.CASE_UNABLE;
    }
  }

  /** Returns whether the rule held. */
  private boolean play() throws Exception {
    bed.record("each configuration has " + Bed.config(1, routes).length + " bytes");
    long version = 10;
    for (int storm = 0; storm < STORMS; storm++) {
      storm(version);
      version += CHANGES;
    }
    bed.record("newest acknowledged version: " + newestAcknowledged.get());
    Thread.sleep(RECOVERY_MILLIS);
    for (String voter : bed.voters()) {
      bed.record(voter + " runs: " + bed.process(voter).isAlive());
    }
    boolean held = isReadBack();
    recordDeadThreads();
    return held;
  }

  /** Sends the changes of one storm; the ones that are not accepted in time are given up. */
  private void storm(long firstVersion) throws InterruptedException {
    long endAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STORM_INTERVAL_MILLIS);
    ExecutorService operators =
        Executors.newFixedThreadPool(Bed.TROUBLE ? ORDERS_IN_PROGRESS : 1);
    for (int i = 0; i < CHANGES; i++) {
      long version = firstVersion + i;
      operators.execute(() -> order(version, endAt));
      Thread.sleep(Bed.TROUBLE ? GAP_MILLIS : CALM_GAP_MILLIS);
    }
    operators.shutdown();
    long lastAnswerAt = endAt + TimeUnit.MILLISECONDS.toNanos(PUT_WAIT_MILLIS);
    operators.awaitTermination(lastAnswerAt - System.nanoTime(), TimeUnit.NANOSECONDS);
  }

  private void recordDeadThreads() throws IOException {
    for (String voter : bed.voters()) {
      try (Stream<String> lines = Files.lines(bed.log(voter))) {
        lines
            .filter(line -> line.startsWith("Exception in thread"))
            .forEach(line -> bed.record("log of " + voter + ": " + line));
      }
    }
  }

  /** Sends one order to one voter after the other, with increasing pauses, until it is accepted. */
  private void order(long version, long endAt) {
    int pause = FIRST_PAUSE_MILLIS;
    try {
      for (int i = 0; System.nanoTime() < endAt; i++) {
        String voter = bed.voters().get((int) ((version + i) % VOTERS));
        if (isAcknowledged(voter, version)) {
          newestAcknowledged.accumulateAndGet(version, Math::max);
          return;
        }
        Thread.sleep(pause);
        pause = Math.min(2 * pause, MAX_PAUSE_MILLIS);
      }
      bed.record("version " + version + " was given up");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isAcknowledged(String voter, long version) {
    String result;
    try {
      int status = bed.put(voter, Bed.config(version, routes), PUT_WAIT_MILLIS);
      result = "status=" + status;
    } catch (IOException e) {
      result = e.getMessage();
    }
    bed.record("put version=" + version + " to " + voter + ": " + result);
    return result.equals("status=200");
  }

  private boolean isReadBack() throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_BACK_MILLIS);
    Optional<Long> read = Optional.empty();
    for (int i = 0; System.nanoTime() < until && read.isEmpty(); i++) {
      read = read(bed.voters().get(i % VOTERS));
      Thread.sleep(300);
    }
    boolean held = read.filter(version -> version >= newestAcknowledged.get()).isPresent();
    bed.record(
        "read back: " + read.map(Object::toString).orElse("nothing") + ", rule held: " + held);
    return held;
  }

  private Optional<Long> read(String voter) {
    try {
      HttpMessage response =
          Call.send(
              bed.operator(voter), PUT_WAIT_MILLIS, "GET", Names.of("get"), new byte[0], "Host: x");
      bed.record("get from " + voter + ": status=" + response.status());
      Matcher version = VERSION.matcher(response.text());
      return response.status() == 200 && version.find()
          ? Optional.of(Long.parseLong(version.group(1)))
          : Optional.empty();
    } catch (IOException e) {
      bed.record("get from " + voter + ": " + e.getMessage());
      return Optional.empty();
    }
  }
}
