package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import net.jqwik.api.Example;

/** Tests when an entry begins to accept callers. */
final class CallersPortTest {
  /** Guards against requests that wait unread at an entry that cannot serve them yet. */
  @Example
  void portIsClosedUntilTheEntryHasAConfiguration() throws IOException {
    try (GatewayFleet fleet = new GatewayFleet(1, 2)) {
      Vm entry = fleet.entries.get(0);
      entry.start();
      Await.until("it tells that it is not ready", () -> fleet.readinessStatus(entry) == 503);
      assertThatThrownBy(() -> connect(fleet, entry)).isInstanceOf(ConnectException.class);

      fleet.voters.forEach(Vm::start);
      Await.until(
          "a configuration is acknowledged",
          () ->
              fleet.voters.stream()
                  .anyMatch(voter -> fleet.operator.put(fleet.operatorAddress(voter), 1)));
      fleet.awaitReady();
      connect(fleet, entry);
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  private static void connect(GatewayFleet fleet, Vm entry) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(fleet.callersSocket(entry));
    }
  }
}
