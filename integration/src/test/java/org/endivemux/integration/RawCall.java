package org.endivemux.integration;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A single HTTP call over a raw socket that the test can close at any moment. */
final class RawCall implements AutoCloseable {
  private final Socket socket;

  private RawCall(Socket socket) {
    this.socket = socket;
  }

  static RawCall sale(Vm vm, String key, String id) {
    return send(
        vm,
        "POST /services/till/sales HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
            + key
            + "\r\nIdempotency-Key: "
            + id
            + "\r\nContent-Length: 2\r\n\r\n{}");
  }

  static RawCall chat(Vm vm, String key, String body) {
    return send(
        vm,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
            + key
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  private static RawCall send(Vm vm, String text) {
    return send(new InetSocketAddress(InetAddress.getLoopbackAddress(), vm.httpPort), text);
  }

  /** Connects to an address and sends the given text. */
  static RawCall send(InetSocketAddress address, String text) {
    try {
      RawCall call = new RawCall(new Socket(address.getAddress(), address.getPort()));
      call.write(text);
      return call;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  void write(String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns whether a part of a response has arrived. */
  boolean hasResponse() {
    try {
      return socket.getInputStream().available() > 0;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns the text received until {@code mark} is complete or the connection ends. */
  String readUntil(String mark) {
    StringBuilder text = new StringBuilder();
    try {
      socket.setSoTimeout(30_000);
      int read = socket.getInputStream().read();
      while (read >= 0) {
        text.append((char) read);
        if (text.indexOf(mark) >= 0) {
          return text.toString();
        }
        read = socket.getInputStream().read();
      }
    } catch (IOException e) {
      text.append("<broken>");
    }
    return text.toString();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
