import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends requests at a steady rate and checks each answer.
 *
 * <p>Thread-safe.
 */
final class Load implements AutoCloseable {
  private final Bed bed;
  private final AtomicInteger sent = new AtomicInteger();
  private final Map<String, Integer> results = new TreeMap<>();
  private final Map<String, List<Long>> millisByKind = new TreeMap<>();
  private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(1);
  private final ExecutorService workers = Executors.newCachedThreadPool();

  Load(Bed bed) {
    this.bed = bed;
  }

  /** Starts to send requests of one kind to all entries in turn. */
  void start(String kind, double perSecond) {
    long micros = (long) (1_000_000 / perSecond);
    clock.scheduleAtFixedRate(
        () -> workers.execute(() -> send(kind)), 0, micros, TimeUnit.MICROSECONDS);
  }

  private void send(String kind) {
    int number = sent.incrementAndGet();
    String entry = bed.entries().get(number % bed.entries().size());
    String attempt = kind + "-" + number;
    long at = System.nanoTime();
    String result = result(kind, entry, attempt);
    long millis = (System.nanoTime() - at) / 1_000_000;
    bed.record("answer request=" + attempt + " by=" + entry + " " + result + " millis=" + millis);
    synchronized (results) {
      results.merge(kind + " " + result, 1, Integer::sum);
      millisByKind.computeIfAbsent(kind, none -> new ArrayList<>()).add(millis);
    }
  }

  private String result(String kind, String entry, String attempt) {
    boolean isTill = kind.equals("sale") || kind.equals("stock");
    int wait = isTill ? 3000 : kind.equals("chat") ? 12000 : 15000;
    try {
      HttpMessage response =
          Call.send(bed.callers(entry), wait, isTill && kind.equals("stock") ? "GET" : "POST",
              "/" + kind + "/" + attempt, body(kind),
              "Host: " + (isTill ? "till" : "chat") + ".example",
              Names.of("attempt") + ": " + attempt,
              Names.of("key") + ": key-of-eggs-0001",
              Names.of("wait") + ": " + wait);
      if (response.status() != 200) {
        return "status=" + response.status();
      }
      String right = isTill ? Engine.bodyOf(attempt) : Engine.eventsOf(attempt, 0);
      return response.text().equals(right) ? "right" : "WRONG";
    } catch (SocketTimeoutException e) {
      return "unanswered";
    } catch (IOException e) {
      return "closed:" + e.getMessage().replace(' ', '-');
    }
  }

  private static byte[] body(String kind) {
    return kind.equals("stock") ? new byte[0] : new byte[600];
  }

  Map<String, Integer> results() {
    synchronized (results) {
      return new TreeMap<>(results);
    }
  }

  /** Returns how many requests of a kind had no whole answer after so many milliseconds. */
  long unansweredAfter(String kind, long millis) {
    synchronized (results) {
      return millisByKind.getOrDefault(kind, List.of()).stream()
          .filter(taken -> taken > millis)
          .count();
    }
  }

  @Override
  public void close() {
    clock.shutdownNow();
    workers.shutdown();
    try {
      workers.awaitTermination(16, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
