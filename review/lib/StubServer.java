import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback address, one thread for each. Thread-safe. */
final class StubServer implements AutoCloseable {
  private static final int BACKLOG = 256;

  private final ServerSocket socket;
  private final Handler handler;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /** Answers one request; returns whether the connection stays open. */
  interface Handler {
    boolean handle(HttpMessage request, OutputStream out, Socket connection) throws Exception;
  }

  StubServer(String host, int port, Handler handler) {
    this.handler = handler;
    try {
      this.socket = new ServerSocket(port, BACKLOG, InetAddress.getByName(host));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    start(this::accept);
  }

  private static void start(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        open.add(connection);
        start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      boolean isOpen = true;
      while (isOpen) {
        HttpMessage request = HttpMessage.read(in, false);
        isOpen = request != null && handler.handle(request, out, connection);
      }
    } catch (Exception e) {
      // The peer closed the connection, as it may at any time.
    } finally {
      open.remove(connection);
    }
  }

  /** Writes a whole response; headers are full lines without their line ends. */
  static void respond(OutputStream out, int status, byte[] body, String... headers)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    for (String header : headers) {
      head.append(header).append("\r\n");
    }
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] first = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[first.length + body.length];
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(body, 0, all, first.length, body.length);
    out.write(all);
    out.flush();
  }

  @Override
  public void close() {
    try {
      socket.close();
      for (Socket connection : open) {
        connection.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
