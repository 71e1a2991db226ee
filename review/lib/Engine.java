import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a sound backend server; a case may replace its answers for some time.
 *
 * <p>Each response depends only on the request's id, so that callers can check it. Thread-safe.
 */
final class Engine implements AutoCloseable {
  private static final int EVENTS = 20;
  private static final int FIRST_EVENT_MILLIS = 80;
  private static final int EVENT_MILLIS = 25;
  private static final int PLAIN_MILLIS = 60;

  final String id;
  final AtomicInteger arrivals = new AtomicInteger();
  private final Bed bed;
  private final int slots;
  private final AtomicInteger running = new AtomicInteger();
  private final StubServer server;
  volatile Fault fault;

  /** Answers in place of the sound server; returns whether the connection stays open. */
  interface Fault {
    boolean answer(HttpMessage request, OutputStream out) throws Exception;
  }

  Engine(Bed bed, String id, String service, String host, int slots, String zone) {
    this.bed = bed;
    this.id = id;
    this.slots = slots;
    this.server = new StubServer(host, Bed.ENGINE_PORT, (q, out, c) -> handle(q, out));
    bed.list(id, service, host, slots, zone);
  }

  static String bodyOf(String attempt) {
    return ("answer to " + attempt + "\n").repeat(20);
  }

  static String eventsOf(String attempt, int after) {
    StringBuilder events = new StringBuilder();
    for (int i = after + 1; i <= EVENTS; i++) {
      events.append(event(attempt, i));
    }
    return events.toString();
  }

  private static String event(String attempt, int number) {
    return "id: " + number + "\ndata: " + attempt + " " + number + "/" + EVENTS + "\n\n";
  }

  static String stampOf(String attempt) {
    return Integer.toHexString(bodyOf(attempt).hashCode());
  }

  private boolean handle(HttpMessage request, OutputStream out) throws Exception {
    String attempt = request.header(Names.of("attempt"));
    String expected = request.header(Names.of("server"));
    String echo = Names.of("attempt") + ": " + attempt;
    if (!expected.isEmpty() && !expected.equals(id)) {
      StubServer.respond(out, 421, new byte[0], echo, Names.of("notRun") + ": other");
      return true;
    }
    if (running.incrementAndGet() > slots) {
      running.decrementAndGet();
      StubServer.respond(out, 503, new byte[0], echo, Names.of("notRun") + ": full");
      return true;
    }
    try {
      arrivals.incrementAndGet();
      Fault now = fault;
      bed.record("run server=" + id + " request=" + attempt + (now == null ? "" : " faulty"));
      return now == null ? answer(request, out, attempt, echo) : now.answer(request, out);
    } finally {
      running.decrementAndGet();
    }
  }

  /** Answers as a sound server, for a fault that hits a part of the requests. */
  boolean answerSoundly(HttpMessage request, OutputStream out) throws Exception {
    String attempt = request.header(Names.of("attempt"));
    return answer(request, out, attempt, Names.of("attempt") + ": " + attempt);
  }

  private boolean answer(HttpMessage request, OutputStream out, String attempt, String echo)
      throws Exception {
    String stamp = Names.of("stamp") + ": " + stampOf(attempt);
    String load = Names.of("load") + ": " + running.get() + ",0," + slots;
    if (request.path().startsWith("/chat/") || request.path().startsWith("/summary/")) {
      stream(request, out, attempt, echo, stamp, load);
      return true;
    }
    Thread.sleep(PLAIN_MILLIS);
    byte[] body = bodyOf(attempt).getBytes(StandardCharsets.UTF_8);
    StubServer.respond(out, 200, body, echo, stamp, load);
    return true;
  }

  private static void stream(
      HttpMessage request, OutputStream out, String attempt, String... headers)
      throws IOException, InterruptedException {
    String resume = request.header(Names.of("resume"));
    int after = resume.isEmpty() ? 0 : Integer.parseInt(resume);
    Thread.sleep(FIRST_EVENT_MILLIS);
    out.write(
        ("HTTP/1.1 200 X\r\n" + String.join("\r\n", headers)
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    for (int i = after + 1; i <= EVENTS; i++) {
      out.write(chunk(event(attempt, i)));
      out.flush();
      Thread.sleep(EVENT_MILLIS);
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static byte[] chunk(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n")
        .getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.close();
  }
}
