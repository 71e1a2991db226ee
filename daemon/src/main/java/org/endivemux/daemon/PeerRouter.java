package org.endivemux.daemon;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import org.endivemux.consensus.Envelope;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.voter.ControlService;
import org.endivemux.control.voter.Voter;
import org.endivemux.routing.LoadDigests;
import org.endivemux.wire.Hello;
import org.endivemux.wire.MessagePackCodec;
import org.endivemux.wire.PeerHandler;
import reactor.core.publisher.Mono;

/**
 * Dispatches messages and requests from other VMs to the components that handle them. Thread-safe.
 */
final class PeerRouter implements PeerHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A reply of this size takes a noticeable part of the time that a poll may take. */
  private static final int LARGE_REPLY_BYTES = 1 << 20;

  private final Optional<Voter> voter;
  private final Optional<ControlService> service;
  private final LoadDigests loads;
  private final Histogram replyBytes;

  PeerRouter(
      Optional<Voter> voter,
      Optional<ControlService> service,
      LoadDigests loads,
      MetricRegistry metrics) {
    this.voter = voter;
    this.service = service;
    this.loads = loads;
    this.replyBytes = metrics.histogram("control.replyBytes");
  }

  @Override
  public void onMessage(Hello from, byte[] payload) {
    switch (PeerPayload.kindOf(payload)) {
      case PeerPayload.CONSENSUS ->
          voter.ifPresent(own -> own.receive(PeerPayload.decode(payload, Envelope.class)));
      case PeerPayload.DIGEST ->
          loads.peerDigest(
              from.vm().value(), PeerPayload.decode(payload, PeerDigest.class).inFlight());
      default -> logger.atWarning().log("event=peer_unknown_kind vm=%s", from.vm());
    }
  }

  @Override
  public Mono<byte[]> onRequest(Hello from, byte[] payload) {
    ControlRequest request = MessagePackCodec.decode(payload, ControlRequest.class);
    return service
        .map(own -> own.handle(request))
        .orElseGet(() -> Mono.just(new ControlReply.NotLeader(Optional.empty(), List.of())))
        .map(MessagePackCodec::encode)
        .doOnNext(reply -> recordSize(from, reply));
  }

  private void recordSize(Hello from, byte[] reply) {
    replyBytes.update(reply.length);
    if (reply.length > LARGE_REPLY_BYTES) {
      logger.atInfo().log("event=large_reply vm=%s bytes=%d", from.vm(), reply.length);
    }
  }
}
