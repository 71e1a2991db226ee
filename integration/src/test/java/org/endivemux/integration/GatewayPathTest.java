package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.platform.standin.RouteKind;

/** Tests requests that pass through real gateway processes. */
final class GatewayPathTest {
  @Example
  void streamsAreChunkedAndResumedElsewhere() throws IOException {
    try (GatewayFleet fleet = new GatewayFleet(1, 4);
        CallerStandIn caller = new CallerStandIn("path", fleet.witness)) {
      fleet.start();
      String entry = fleet.callersAddress(fleet.entries.get(0));
      List.of(RouteKind.values())
          .forEach(
              kind -> Await.until(kind + " served", () -> caller.call(entry, kind).isServed()));
      String response = raw(entry, CallerStandIn.rawStreamRequest("raw"));
      assertThat(response.toLowerCase(Locale.ROOT)).contains("transfer-encoding: chunked");
      assertThat(response).endsWith("\r\n0\r\n\r\n");

      fleet.engines.get(1).mode(EngineStandIn.Mode.CUTS_STREAMS);
      for (int i = 0; i < 6; i++) {
        assertThat(caller.call(entry, RouteKind.STREAM).status()).isEqualTo(200);
      }
      assertThat(fleet.witness.violations()).isEmpty();
    }
  }

  /** Sends a request and returns all bytes received until the peer closes the connection. */
  private static String raw(String address, String request) throws IOException {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    try (Socket socket = new Socket(address.substring(0, colon), port)) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }
}
