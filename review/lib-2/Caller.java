import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Sends one request on a new connection and reads the answer. Immutable and thread-safe. */
final class Caller {
  private static final int CONNECT_MILLIS = 1000;

  private Caller() {}

  /**
   * What a caller saw. Times are in milliseconds since the request was sent, -1 for none.
   *
   * @param status status of the answer; 0 if there was none
   * @param end how the answer ended: whole, closed or none
   */
  record Seen(String route, int status, long headMillis, long endMillis, String end) {}

  /** Sends a request and reads until the answer ends or the limit has passed. */
  static Seen call(
      InetSocketAddress entry,
      String method,
      String route,
      String id,
      int waitMillis,
      int limitMillis) {
    return call(entry, method, route, id, waitMillis, limitMillis, Long.MAX_VALUE);
  }

  /**
   * Sends a request and reads until the answer ends or the limit has passed.
   *
   * @param bytesPerSecond how fast the caller's link is
   */
  static Seen call(
      InetSocketAddress entry,
      String method,
      String route,
      String id,
      int waitMillis,
      int limitMillis,
      long bytesPerSecond) {
    long start = System.nanoTime();
    long head = -1;
    int status = 0;
    try (Socket socket = new Socket()) {
      socket.connect(entry, CONNECT_MILLIS);
      String request =
          "%s /%s/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n%s: k1\r\n%s\r\n"
              .formatted(
                  method, route, Lab.name("id"), id, Lab.name("wait"), waitMillis, Lab.name("key"),
                  method.equals("GET") ? "" : "Content-Length: 0\r\n");
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      StringBuilder text = new StringBuilder();
      byte[] buffer = new byte[1 << 16];
      long length = -1;
      long got = 0;
      String tail = "";
      while (true) {
        long left = limitMillis - millisSince(start);
        if (left <= 0) {
          return new Seen(route, status, head, -1, "none");
        }
        socket.setSoTimeout((int) left);
        int count = in.read(buffer);
        if (count < 0) {
          return new Seen(route, status, head, millisSince(start), "closed");
        }
        Lab.sleep(count * 1000L / bytesPerSecond);
        String part = new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
        if (head < 0) {
          text.append(part);
          int end = text.indexOf("\r\n\r\n");
          if (end < 0) {
            continue;
          }
          head = millisSince(start);
          status = Integer.parseInt(text.substring(9, 12));
          String fields = text.substring(0, end).toLowerCase();
          int at = fields.indexOf("content-length:");
          length = at < 0 ? -1 : Long.parseLong(fields.substring(at + 15).split("\r\n")[0].strip());
          part = text.substring(end + 4);
        }
        got += part.length();
        tail = (tail + part).substring(Math.max(0, tail.length() + part.length() - 5));
        if (length >= 0 ? got >= length : tail.equals("0\r\n\r\n")) {
          return new Seen(route, status, head, millisSince(start), "whole");
        }
      }
    } catch (SocketTimeoutException e) {
      return new Seen(route, status, head, -1, "none");
    } catch (IOException e) {
      return new Seen(route, status, head, millisSince(start), "closed");
    }
  }

  private static long millisSince(long start) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }
}
