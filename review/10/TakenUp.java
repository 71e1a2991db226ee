import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * While the servers of an old software version drain and still serve, an entry is killed. Callers take
 * their streams up again at the other entry, where new streams begin.
 */
final class TakenUp {
  private static final int STREAMS = 40;
  private static final int NEW_STREAMS = 40;
  private static final int EVENTS = 120;
  private static final int EVENT_INTERVAL_MILLIS = 100;

  /** The site's `drainMs` is 3,000; all streams are taken up well before. */
  private static final int KILL_AFTER_LISTING_MILLIS = 1000;

  private static final int LIMIT_MILLIS = 15_000;
  private static final int MAX_TRIES = 3;

  /** The rule applies from so many streams on that are taken up. */
  private static final int MIN_TAKEN_UP = 12;

  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (v\\d)\n\n");
  private static final Pattern STATUS = Pattern.compile("HTTP/1.1 (\\d+)");

  private TakenUp() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Lab lab = new Lab(Path.of("review/10/record.txt"), 3, 2)) {
      status = run(lab, trouble);
    } catch (IOException e) {
      System.err.println("The case could not run: " + e);
    }
    System.exit(status);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    lab.note("disruption: " + (trouble ? "old servers drain, an entry is killed" : "none"));
    lab.config = "config-resumable.json";
    AtomicBoolean leaving = new AtomicBoolean();
    for (int i = 0; i < 2; i++) {
      start(lab, "old-" + i, 70 + i, "v1", leaving);
    }
    lab.start(1);
    Lab.sleep(4000);
    ExecutorService callers = Executors.newCachedThreadPool();
    ConcurrentLinkedQueue<Stream> running = new ConcurrentLinkedQueue<>();
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      callers.execute(() -> running.add(read(lab, number, lab.entries.get(number % 2).number)));
      Lab.sleep(25);
    }
    for (int i = 0; i < 2; i++) {
      start(lab, "new-" + i, 72 + i, "v2", new AtomicBoolean());
    }
    Lab.sleep(2000);
    if (trouble) {
      leaving.set(true);
      lab.platform.drain("old-0");
      lab.platform.drain("old-1");
      lab.note("the list names the servers of v1 as draining; they serve on");
      Lab.sleep(KILL_AFTER_LISTING_MILLIS);
      lab.entries.get(0).end();
      lab.note("entry0 was killed");
    }
    ConcurrentLinkedQueue<Stream> begun = new ConcurrentLinkedQueue<>();
    for (int i = 0; i < NEW_STREAMS; i++) {
      int number = STREAMS + i;
      callers.execute(() -> begun.add(read(lab, number, lab.entries.get(1).number)));
      Lab.sleep(25);
    }
    callers.shutdown();
    callers.awaitTermination(60, TimeUnit.SECONDS);
    lab.entries.get(1).noteLog("stream_resumption|STREAM_VERSION", 60);
    return judge(lab, running, begun);
  }

  private static void start(
      Lab lab, String id, int number, String version, AtomicBoolean leaving) throws IOException {
    var unused =
        new ServerStandIn(
            id,
            lab.at(number, Lab.SERVER_PORT),
            (line, headers, out) -> stream(version, leaving.get(), headers, out));
    lab.platform.add(id, "llm", lab.host(number) + ":" + Lab.SERVER_PORT, 64, version);
  }

  private static int judge(
      Lab lab, ConcurrentLinkedQueue<Stream> running, ConcurrentLinkedQueue<Stream> begun) {
    long takenUp = running.stream().filter(it -> it.attempts() > 1).count();
    long wentOn = running.stream().filter(it -> it.attempts() > 1 && it.wentOn()).count();
    long began = begun.stream().filter(it -> it.last() > 0).count();
    String result =
        "%d of %d streams that were taken up went on; %d of %d new streams began"
            .formatted(wentOn, takenUp, began, begun.size());
    lab.note(result);
    System.out.println(result);
    boolean isBroken =
        takenUp >= MIN_TAKEN_UP && wentOn * 2 * begun.size() < began * takenUp;
    lab.note("LOST " + (isBroken ? "broken" : "held"));
    return isBroken ? 1 : 0;
  }

  /**
   * What a caller saw of a stream.
   *
   * @param wentOn whether an event followed after it was taken up
   */
  private record Stream(int attempts, int last, boolean wentOn) {}

  private static void stream(
      String version, boolean leaving, Map<String, String> headers, OutputStream out)
      throws IOException {
    int after = Integer.parseInt(headers.getOrDefault(Lab.name("after").toLowerCase(), "0"));
    out.write(
        ServerStandIn.bytes(
            ServerStandIn.head(headers)
                + (leaving ? "Server-Leaving: 1\r\n" : "")
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    for (int i = after + 1; i <= EVENTS; i++) {
      String event = "id: " + i + "\ndata: " + version + "\n\n";
      out.write(ServerStandIn.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
      Lab.sleep(EVENT_INTERVAL_MILLIS);
    }
    out.write(ServerStandIn.bytes("0\r\n\r\n"));
  }

  /** Reads one stream, and takes it up again at the second entry when it breaks. */
  private static Stream read(Lab lab, int number, int firstEntry) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
    int last = 0;
    int attempt = 0;
    boolean wentOn = false;
    String first = "";
    while (attempt < MAX_TRIES && last < EVENTS && System.nanoTime() < end) {
      attempt++;
      String id = "s" + number + "t" + attempt;
      int entry = attempt == 1 ? firstEntry : lab.entries.get(1).number;
      int before = last;
      int left = (int) TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      StringBuilder text = new StringBuilder();
      try (Socket socket = new Socket()) {
        socket.connect(lab.at(entry, Lab.CALLERS_PORT), 1000);
        socket.setSoTimeout(2000);
        String resume =
            last == 0
                ? ""
                : Lab.name("after") + ": " + last + "\r\n" + Lab.name("resumes") + ": " + first + "\r\n";
        String request =
            "POST /digest/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n%s: k1\r\n%sContent-Length: 0\r\n\r\n"
                .formatted(Lab.name("id"), id, Lab.name("wait"), left, Lab.name("key"), resume);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[1 << 14];
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          text.append(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
          if (text.toString().endsWith("\r\n0\r\n\r\n") || !text.toString().startsWith("HTTP/1.1 2")) {
            break;
          }
        }
      } catch (IOException e) {
        lab.note(id + " broke: " + e.getMessage());
      }
      Set<String> seen = new TreeSet<>();
      Matcher event = EVENT.matcher(text);
      while (event.find()) {
        first = first.isEmpty() ? id : first;
        last = Integer.parseInt(event.group(1));
        seen.add(event.group(2));
      }
      wentOn |= before > 0 && last > before;
      Matcher status = STATUS.matcher(text);
      lab.note(
          "%s at %s: status %s, events of %s, the last is %d"
              .formatted(id, lab.host(entry), status.find() ? status.group(1) : "none", seen, last));
      if (last < EVENTS) {
        Lab.sleep(300);
      }
    }
    return new Stream(attempt, last, wentOn);
  }
}
