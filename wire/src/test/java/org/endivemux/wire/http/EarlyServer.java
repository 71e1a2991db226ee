package org.endivemux.wire.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Answers each request with the same bytes before it has read the body, as a failing server does.
 *
 * <p>Its sockets take little, so that the client still has bytes to write. Thread-safe.
 */
public final class EarlyServer implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;
  private static final String CONTENT_LENGTH = "content-length:";
  private static final String TRANSFER_ENCODING = "transfer-encoding:";
  private static final int HEXADECIMAL = 16;

  /** Lists how the connection goes on after the response. */
  public enum End {
    /** It stays open, and nothing more is read. */
    NONE,
    /** It is reset. */
    RESET,
    /** It is ended in order, and nothing more is read. */
    IN_ORDER,
    /** The whole request is read before the response, and the connection is ended in order. */
    AFTER_REQUEST
  }

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();
  private final ServerSocket listener;
  private final byte[] response;
  private final End end;
  private final int delayMillis;

  /**
   * @param delayMillis how long the connection stays open after the response
   */
  public EarlyServer(String response, End end, int delayMillis) throws IOException {
    this.response = response.getBytes(StandardCharsets.US_ASCII);
    this.end = end;
    this.delayMillis = delayMillis;
    this.listener = new ServerSocket();
    listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    threads.execute(this::accept);
  }

  /** Returns the address on which it listens. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns how many connections it has accepted. */
  public int connections() {
    return connections.size();
  }

  private void accept() {
    try {
      while (!listener.isClosed()) {
        Socket connection = listener.accept();
        connections.add(connection);
        threads.execute(() -> serve(connection));
      }
    } catch (IOException e) {
      // The listener was closed at the end of a test.
    }
  }

  private void serve(Socket connection) {
    try {
      readRequest(connection.getInputStream());
      connection.getOutputStream().write(response);
      Thread.sleep(delayMillis);
      endConnection(connection);
    } catch (IOException | InterruptedException e) {
      // The client or the test ended the connection.
    }
  }

  private void readRequest(InputStream in) throws IOException {
    List<String> fields = new ArrayList<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      fields.add(line.toLowerCase(Locale.ROOT));
    }
    if (end == End.AFTER_REQUEST) {
      readBody(in, fields);
    }
  }

  private static void readBody(InputStream in, List<String> fields) throws IOException {
    Optional<Long> length =
        fields.stream()
            .filter(field -> field.startsWith(CONTENT_LENGTH))
            .map(field -> Long.valueOf(field.substring(CONTENT_LENGTH.length()).strip()))
            .findFirst();
    if (length.isPresent()) {
      in.skipNBytes(length.get());
    } else if (fields.stream().anyMatch(field -> field.startsWith(TRANSFER_ENCODING))) {
      readChunks(in);
    }
  }

  private static void readChunks(InputStream in) throws IOException {
    int size = Integer.parseInt(line(in), HEXADECIMAL);
    while (size > 0) {
      in.skipNBytes(size);
      line(in);
      size = Integer.parseInt(line(in), HEXADECIMAL);
    }
    line(in);
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("The connection ended within the head of a request.");
      }
      line.append((char) next);
    }
    return line.toString().strip();
  }

  private void endConnection(Socket connection) throws IOException {
    switch (end) {
      case RESET -> {
        connection.setSoLinger(true, 0);
        connection.close();
      }
      case IN_ORDER, AFTER_REQUEST -> connection.shutdownOutput();
      case NONE -> {}
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
    threads.shutdownNow();
  }
}
