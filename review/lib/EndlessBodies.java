import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lets some engines of one service answer a part of their requests with bytes without end, while
 * the servers of another service are sound.
 *
 * <p>Exits with 1 if more than half of the sales that have no answer at their route's timeout have
 * none half a second later either. Only sales are judged; no server of theirs is ever disturbed.
 */
final class EndlessBodies {
  private static final int VOTERS = 3;
  private static final int ENTRIES = 2;
  private static final int ENGINES = 8;
  private static final int TILLS = 4;
  private static final int CHATS_PER_SECOND = 80;
  private static final int SUMMARIES_PER_SECOND = 40;
  private static final int SALES_PER_SECOND = 20;
  private static final int FAULTY_ENGINES = 4;

  /** Part of a faulty engine's requests that it answers without end, in hundredths. */
  private static final int FAULTY_PERCENT = 45;

  private static final int SPELLS = 2;
  private static final int SPELL_MILLIS = 6500;
  private static final int PAUSE_MILLIS = 12_000;
  private static final int REST_MILLIS = 16_000;

  /** 1.5 MB a second for each response, far below what a link carries. */
  private static final int BYTES_PER_STEP = 75_000;

  private static final int STEP_MILLIS = 50;

  /** The few unanswered requests that a rule passes over. */
  private static final int MIN_UNANSWERED = 8;

  private static final long SALE_TIMEOUT_MILLIS = 1500;
  private static final long ALLOWED_MILLIS = 500;

  private EndlessBodies() {}

  public static void main(String[] args) {
    System.exit(exitCode(Path.of(args[0])));
  }

  private static int exitCode(Path folder) {
    try (Bed bed = new Bed(folder, VOTERS, ENTRIES)) {
      List<Engine> engines = new ArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        engines.add(new Engine(bed, "i-llm" + i, "llm", bed.network + (100 + i), 64, "z" + i % 3));
      }
      for (int i = 0; i < TILLS; i++) {
        new Engine(bed, "i-till" + i, "till", bed.network + (120 + i), 6, "z" + i % 3);
      }
      bed.start();
      return isHeld(bed, play(bed, engines)) ? 0 : Bed.CASE_BROKEN;
    } catch (Exception e) {
      e.printStackTrace();
      return Bed.CASE_UNABLE;
    }
  }

  private static Load play(Bed bed, List<Engine> engines) throws Exception {
    Thread.sleep(3000);
    Load load = new Load(bed);
    try {
      load.start("chat", CHATS_PER_SECOND);
      load.start("summary", SUMMARIES_PER_SECOND);
      load.start("sale", SALES_PER_SECOND);
      Thread.sleep(5000);
      for (int i = 0; i < SPELLS; i++) {
        bed.record("trouble begins: " + Bed.TROUBLE);
        if (Bed.TROUBLE) {
          engines.stream().limit(FAULTY_ENGINES).forEach(engine -> engine.fault = fault(engine));
        }
        Thread.sleep(SPELL_MILLIS);
        engines.forEach(engine -> engine.fault = null);
        bed.record("trouble ends");
        Thread.sleep(PAUSE_MILLIS);
      }
      Thread.sleep(REST_MILLIS);
    } finally {
      load.close();
    }
    return load;
  }

  /** Returns a fault that hits an exact part of the requests. */
  private static Engine.Fault fault(Engine engine) {
    AtomicInteger number = new AtomicInteger();
    return (request, out) -> {
      int i = number.getAndIncrement();
      boolean isHit = (i + 1) * FAULTY_PERCENT / 100 > i * FAULTY_PERCENT / 100;
      return isHit ? sendWithoutEnd(request, out) : engine.answerSoundly(request, out);
    };
  }

  /** Sends an error whose body never ends, until the caller closes the connection. */
  private static boolean sendWithoutEnd(HttpMessage request, OutputStream out)
      throws IOException, InterruptedException {
    String attempt = request.header(Names.of("attempt"));
    String head =
        "HTTP/1.1 500 X\r\n" + Names.of("attempt") + ": " + attempt + "\r\n" + Names.of("stamp")
            + ": " + Engine.stampOf(attempt) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    byte[] step = Engine.chunk("x".repeat(BYTES_PER_STEP));
    while (true) {
      out.write(step);
      out.flush();
      Thread.sleep(STEP_MILLIS);
    }
  }

  private static boolean isHeld(Bed bed, Load load) {
    bed.record("answers: " + load.results());
    long atTimeout = load.unansweredAfter("sale", SALE_TIMEOUT_MILLIS);
    long later = load.unansweredAfter("sale", SALE_TIMEOUT_MILLIS + ALLOWED_MILLIS);
    boolean held = later < MIN_UNANSWERED || 2 * later <= atTimeout;
    bed.record(
        "sales without an answer at their timeout: " + atTimeout + ", half a second later: " + later
            + ", rule held: " + held);
    return held;
  }
}
