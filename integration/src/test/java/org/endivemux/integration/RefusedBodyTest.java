package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.RouteKind;

/** Tests that a caller can read a refusal although it was still sending the body. */
final class RefusedBodyTest {
  private static final String PIECE = "x".repeat(1 << 16);

  /** More than the sockets between both ends can hold, so that an early close breaks a write. */
  private static final int PIECES = 400;

  /** The largest body that is allowed; nine of them are more than an entry holds. */
  private static final int UPLOAD_BYTES = 4 << 20;

  private static final int UNFINISHED_UPLOADS = 12;

  @Example
  void entryRefusesABodyThatExceedsTheLimitAfterReadingIt() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      String key = cluster.key("eggs");
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), cluster.vms.get(0).httpPort);
      String head =
          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n";
      assertThat(refusalOf(address, head)).startsWith("HTTP/1.1 413 ");
    }
  }

  @Example
  void gatewayRefusesABodyThatExceedsTheLimitAfterReadingIt() {
    try (GatewayFleet fleet = new GatewayFleet(1, 2)) {
      fleet.start();
      String head = CallerStandIn.rawUploadHead("long-body");
      InetSocketAddress address = fleet.callersSocket(fleet.entries.get(0));
      assertThat(refusalOf(address, head)).startsWith("HTTP/1.1 413 ");
    }
  }

  /** Guards against large bodies of many callers that end the connections of others. */
  @Example
  void gatewayRefusesBodiesForWhichItHasNoRoom() {
    try (GatewayFleet fleet = new GatewayFleet(1, 2);
        CallerStandIn caller = new CallerStandIn("caller", fleet.witness)) {
      fleet.start();
      Vm entry = fleet.entries.get(0);
      List<RawCall> uploads =
          IntStream.range(0, UNFINISHED_UPLOADS)
              .mapToObj(i -> unfinishedUpload(fleet.callersSocket(entry), "upload" + i))
              .toList();
      Await.until("one is refused", () -> uploads.stream().anyMatch(RawCall::hasResponse));
      RawCall refused = uploads.stream().filter(RawCall::hasResponse).findFirst().orElseThrow();
      assertThat(refused.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 503 ");
      uploads.forEach(RawCall::close);
      Await.until(
          "served", () -> caller.call(fleet.callersAddress(entry), RouteKind.LOOK_UP).isServed());
    }
  }

  private static RawCall unfinishedUpload(InetSocketAddress address, String id) {
    RawCall call =
        RawCall.send(
            address,
            CallerStandIn.rawUploadHead(id) + "Content-Length: " + UPLOAD_BYTES + "\r\n\r\n");
    IntStream.range(0, (UPLOAD_BYTES - 1) / PIECE.length()).forEach(i -> call.write(PIECE));
    return call;
  }

  /** Sends a body of which the receiver accepts only a part, and returns the response's head. */
  private static String refusalOf(InetSocketAddress address, String head) {
    int length = PIECES * PIECE.length();
    try (RawCall call = RawCall.send(address, head + "Content-Length: " + length + "\r\n\r\n")) {
      IntStream.range(0, PIECES).forEach(i -> call.write(PIECE));
      return call.readUntil("\r\n\r\n");
    }
  }
}
