package org.endivemux.wire;

import reactor.core.publisher.Mono;

/** Handles messages from other VMs. Called on event loops, so implementations must not block. */
public interface PeerHandler {
  /** Handles a one-way message. */
  void onMessage(Hello from, byte[] payload);

  /** Handles a request and returns the reply. */
  Mono<byte[]> onRequest(Hello from, byte[] payload);
}
