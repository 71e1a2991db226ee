import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Restarts entries by SIGTERM, one after the other, while settings change: each new process gets a
 * SIGHUP shortly after its start, and is started again when it ends.
 *
 * <p>Exits with 1 if processes of two machines end by themselves three times each. Without the
 * disruption the same restarts happen without a SIGHUP.
 */
final class HangupAtStart {
  private static final int VOTERS = 3;
  private static final int ENTRIES = 3;

  /** Times at which settings change after the start of a process. */
  private static final int[] HANGUPS_AFTER_MILLIS = {200, 250, 300};

  private static final int RESTART_DELAY_MILLIS = 300;
  private static final int MACHINES_FOR_FAULT = 2;

  private final Bed bed;
  private final Map<String, Integer> ends = new LinkedHashMap<>();

  private HangupAtStart(Bed bed) {
    this.bed = bed;
  }

  public static void main(String[] args) {
    System.exit(exitCode(Path.of(args[0])));
  }

  private static int exitCode(Path folder) {
    try (Bed bed = new Bed(folder, VOTERS, ENTRIES)) {
      for (int i = 0; i < 4; i++) {
        new Engine(bed, "i-till" + i, "till", bed.network + (120 + i), 6, "z" + i % 3);
      }
      bed.start();
      try (Load load = new Load(bed)) {
        load.start("sale", 10);
        boolean held = new HangupAtStart(bed).play();
        bed.record("answers: " + load.results());
        return held ? 0 : Bed.CASE_BROKEN;
      }
    } catch (Exception e) {
      e.printStackTrace();
      return Bed.CASE_UNABLE;
    }
  }

  private boolean play() throws Exception {
    Thread.sleep(3000);
    for (String entry : bed.entries()) {
      bed.signal(entry, "TERM");
      bed.record(entry + " ended after SIGTERM: exit " + bed.process(entry).waitFor());
      Thread.sleep(RESTART_DELAY_MILLIS);
      restart(entry);
      bed.until(entry + " is ready again", () -> bed.isReady(entry));
    }
    bed.record("processes that ended by themselves: " + ends);
    long machines = ends.values().stream().filter(count -> count >= 3).count();
    return machines < MACHINES_FOR_FAULT;
  }

  private void restart(String entry) throws Exception {
    Process process = bed.start(entry, false);
    for (int delay : HANGUPS_AFTER_MILLIS) {
      if (!Bed.TROUBLE) {
        return;
      }
      Thread.sleep(delay);
      bed.signal(entry, "HUP");
      if (process.waitFor(2, TimeUnit.SECONDS)) {
        ends.merge(entry, 1, Integer::sum);
        bed.record(entry + " ended by itself: exit " + process.exitValue());
        Thread.sleep(RESTART_DELAY_MILLIS);
        process = bed.start(entry, false);
      }
    }
  }
}
