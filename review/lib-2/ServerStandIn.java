import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server that reads one request after the other on each connection and answers it by a
 * given behaviour. Thread-safe.
 */
final class ServerStandIn implements AutoCloseable {
  final String id;
  final AtomicInteger requests = new AtomicInteger();
  private final ServerSocket listener = new ServerSocket();
  private final Behaviour behaviour;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Answers requests. */
  @FunctionalInterface
  interface Behaviour {
    /**
     * Writes the answer; an exception closes the connection.
     *
     * @param headers the request's headers, by names in lower case
     */
    void answer(String line, Map<String, String> headers, OutputStream out) throws IOException;
  }

  ServerStandIn(String id, InetSocketAddress address, Behaviour behaviour) throws IOException {
    this.id = id;
    this.behaviour = behaviour;
    listener.setReuseAddress(true);
    listener.bind(address, 512);
    daemon(this::accept);
  }

  private static void daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (String line = line(in); !line.isEmpty(); line = line(in)) {
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
          int colon = header.indexOf(':');
          headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).strip());
        }
        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        requests.incrementAndGet();
        behaviour.answer(line, headers, out);
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  /** Returns the status line and the fields that a success to a request has. */
  static String head(Map<String, String> headers) {
    String attempt = headers.getOrDefault(Lab.name("id").toLowerCase(), "");
    return "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-%s\r\n"
        .formatted(Lab.name("id"), attempt, Lab.name("stamp"), attempt);
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Stops as a process that ends: the port refuses connections, and open ones are closed. */
  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
