import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds one HTTP request or response that was read from a socket.
 *
 * <p>Not modified after construction.
 */
final class HttpMessage {
  private static final int MAX_HEAD_BYTES = 1 << 16;

  final String startLine;
  final Map<String, String> headers;
  final byte[] body;

  private HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
    this.startLine = startLine;
    this.headers = headers;
    this.body = body;
  }

  /** Reads a whole message; returns null if the connection ended before its first byte. */
  static HttpMessage read(InputStream in, boolean isResponse) throws IOException {
    String startLine = line(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(in); !"".equals(line); line = line(in)) {
      if (line == null) {
        throw new EOFException("the connection ended within a head");
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    return new HttpMessage(startLine, headers, body(in, headers, isResponse));
  }

  private static byte[] body(InputStream in, Map<String, String> headers, boolean isResponse)
      throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      return chunks(in);
    }
    if (headers.containsKey("Content-Length")) {
      return exactly(in, Integer.parseInt(headers.get("Content-Length")));
    }
    return isResponse ? in.readAllBytes() : new byte[0];
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("the connection ended before the last chunk");
      }
      int length = Integer.parseInt(size.split(";")[0].strip(), 16);
      out.writeBytes(exactly(in, length));
      line(in);
      if (length == 0) {
        return out.toByteArray();
      }
    }
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the connection ended within a body");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (out.size() > 0) {
          throw new EOFException("the connection ended within a line");
        }
        return null;
      }
      if (next == '\n') {
        String line = out.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
      }
      out.write(next);
      if (out.size() > MAX_HEAD_BYTES) {
        throw new IOException("a line is too long");
      }
    }
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String method() {
    return startLine.split(" ")[0];
  }

  String path() {
    return startLine.split(" ")[1];
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
