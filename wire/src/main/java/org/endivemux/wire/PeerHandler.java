package org.endivemux.wire;

import reactor.core.publisher.Mono;

/** Handles what other VMs send. Called on event loops: implementations must not block. */
public interface PeerHandler {
  /** Takes a message that has no answer. */
  void onMessage(Hello from, byte[] payload);

  /** Answers a request. */
  Mono<byte[]> onRequest(Hello from, byte[] payload);
}
