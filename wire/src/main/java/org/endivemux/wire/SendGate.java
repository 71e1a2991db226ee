package org.endivemux.wire;

import reactor.netty.Connection;

/** Keeps abandoned requests from being written. Stateless and thread-safe. */
public final class SendGate {
  private SendGate() {}

  /**
   * Marks a request as sent, or closes its connection at once if the request has been abandoned, so
   * that writing it fails. Called when the connection is ready, before the first byte is written.
   */
  public static void check(SendMarker marker, Connection connection) {
    if (!marker.trySend()) {
      var unused = connection.channel().close();
    }
  }
}
