import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Four voters of five are lost for good one after the other, each replaced by an empty one before the
 * next is lost. What was acknowledged must be read back.
 */
final class Replacements {
  private static final int VOTERS = 5;
  private static final int REPLACEMENTS = 4;

  private static final int SUCCESSOR_MILLIS = 1000;

  /** A lost machine counts as lost until 4 s after its successor has started, so for 5 s. */
  private static final int INTERVAL_MILLIS = 7000;

  /** When a change is sent, within an interval. */
  private static final int CHANGE_MILLIS = 5000;

  private static final int ACKNOWLEDGEMENT_MILLIS = 1500;

  /** The time for which service may be suspended after all machines are back. */
  private static final int RECOVERY_MILLIS = 12_000;

  private static final int READ_MILLIS = 10_000;

  private Replacements() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Lab lab = new Lab(Path.of("review/6/record.txt"), VOTERS, 1)) {
      status = run(lab, trouble);
    } catch (IOException e) {
      System.err.println("The case could not run: " + e);
    }
    System.exit(status);
  }

  private static int run(Lab lab, boolean trouble) throws IOException {
    lab.note("disruption: " + (trouble ? "voters are replaced" : "none"));
    long acknowledged = 1;
    lab.start(acknowledged);
    // All voters have joined.
    Lab.sleep(8000);
    for (int i = 0; i < REPLACEMENTS; i++) {
      long start = System.nanoTime();
      if (trouble) {
        Optional<Lab.Vm> leader = lab.awaitLeader(RECOVERY_MILLIS);
        if (leader.isEmpty()) {
          lab.note("no voter leads");
          break;
        }
        lab.remove(leader.get());
        Lab.sleep(SUCCESSOR_MILLIS);
        lab.addVoter();
      }
      sleepUntil(start, CHANGE_MILLIS);
      long version = 2 + i;
      acknowledged = lab.put(version, ACKNOWLEDGEMENT_MILLIS) ? version : acknowledged;
      sleepUntil(start, INTERVAL_MILLIS);
    }
    Lab.sleep(RECOVERY_MILLIS);
    return judge(lab, acknowledged);
  }

  private static void sleepUntil(long start, long millis) {
    Lab.sleep(Math.max(0, millis - (System.nanoTime() - start) / 1_000_000));
  }

  private static int judge(Lab lab, long acknowledged) {
    long newest = 0;
    long end = System.nanoTime() + READ_MILLIS * 1_000_000L;
    while (newest < acknowledged && System.nanoTime() < end) {
      for (Lab.Vm voter : lab.voters) {
        long version = lab.version(voter);
        lab.note(voter.name + " reads back version " + version);
        newest = Math.max(newest, version);
      }
      Lab.sleep(500);
    }
    String result = "acknowledged: version " + acknowledged + ", read back: version " + newest;
    lab.note(result);
    System.out.println(result);
    boolean isBroken = newest < acknowledged;
    lab.note("CONFIG " + (isBroken ? "broken" : "held"));
    return isBroken ? 1 : 0;
  }
}
