import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Makes one HTTP call on a connection of its own. Stateless and thread-safe. */
final class Call {
  private static final int CONNECT_MILLIS = 1000;

  private Call() {}

  /** Returns the whole response; throws if there is none in time. */
  static HttpMessage send(
      String address, int waitMillis, String method, String path, byte[] body, String... headers)
      throws IOException {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(waitMillis);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          CONNECT_MILLIS);
      OutputStream out = socket.getOutputStream();
      out.write(head(method, path, body.length, headers));
      out.write(body);
      out.flush();
      HttpMessage response =
          HttpMessage.read(new BufferedInputStream(socket.getInputStream()), true);
      if (response == null) {
        throw new IOException("the connection was closed without a response");
      }
      return response;
    }
  }

  static byte[] head(String method, String path, int length, String... headers) {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    for (String header : headers) {
      head.append(header).append("\r\n");
    }
    if (!method.equals("GET")) {
      head.append("Content-Length: ").append(length).append("\r\n");
    }
    return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
