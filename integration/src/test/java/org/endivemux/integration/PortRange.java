package org.endivemux.integration;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Claims a range of ports that no other test process on this machine uses.
 *
 * <p>The claim is a listener on the first port of the range, which stays open as long as the
 * process. Ports drawn at random collided when two runs of the tests overlapped. Thread-safe.
 */
final class PortRange {
  /** Below the ephemeral range, which the system uses for outgoing connections. */
  private static final int FIRST_PORT = 20_000;

  private static final int RANGES = 20;
  private static final int PORTS = 600;

  private static final ServerSocket CLAIM = claim();
  private static final AtomicInteger TAKEN = new AtomicInteger();

  private PortRange() {}

  private static ServerSocket claim() {
    List<Integer> numbers = new ArrayList<>(IntStream.range(0, RANGES).boxed().toList());
    Collections.shuffle(numbers);
    return numbers.stream()
        .flatMap(number -> listen(FIRST_PORT + number * PORTS).stream())
        .findFirst()
        .orElseThrow(() -> new AssertionError("All ranges of ports are in use by other tests."));
  }

  private static Optional<ServerSocket> listen(int port) {
    try {
      return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
    } catch (IOException e) {
      // Another test process has claimed this range.
      return Optional.empty();
    }
  }

  /** Returns the number of this process's range; no other test process has the same. */
  static int number() {
    return (CLAIM.getLocalPort() - FIRST_PORT) / PORTS;
  }

  /** Returns a port of the range that is free now. */
  static int freePort() {
    while (true) {
      int port = CLAIM.getLocalPort() + 1 + TAKEN.getAndIncrement() % (PORTS - 1);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // A process of an earlier test still has the port: try the next one.
      }
    }
  }
}
