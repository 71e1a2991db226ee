import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Lists servers and accepts all reports, as a sound platform does. Thread-safe. */
final class PlatformStandIn implements AutoCloseable {
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<String> servers = new CopyOnWriteArrayList<>();
  private final String item = Files.readString(Path.of("review/lib-2/server.json")).strip();

  PlatformStandIn(InetSocketAddress address, Lab lab) throws IOException {
    server = HttpServer.create(address, 0);
    server.createContext("/", this::answer);
    server.setExecutor(threads);
    server.start();
    lab.note("platform listens at " + address);
  }

  void add(String id, String service, String address, int slots) {
    add(id, service, address, slots, "v1");
  }

  /** Lists a server in place of an earlier entry with its id. */
  void add(String id, String service, String address, int slots, String version) {
    servers.removeIf(it -> it.contains("\"" + id + "\""));
    servers.add(
        item.replace("@ID@", id)
            .replace("@SERVICE@", service)
            .replace("@ADDRESS@", address)
            .replace("@SLOTS@", "" + slots)
            .replace("@SOFTWARE@", version));
  }

  /** Lists a server as draining. */
  void drain(String id) {
    servers.replaceAll(
        it -> it.contains("\"" + id + "\"") ? it.replace("\"ready\"", "\"draining\"") : it);
  }

  private void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      boolean isList = exchange.getRequestURI().getPath().equals(Lab.name("list"));
      String text =
          isList ? "{\"instances\":[" + String.join(",", servers) + "],\"nextToken\":null}" : "{}";
      byte[] body = text.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
