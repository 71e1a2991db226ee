package org.endivemux.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.endivemux.consensus.Envelope;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.message.ControlReply;
import org.endivemux.model.VmId;
import org.endivemux.wire.Hello;
import org.endivemux.wire.LinkMetrics;
import org.endivemux.wire.LinkTiming;
import org.endivemux.wire.MessagePackCodec;
import org.endivemux.wire.PeerLink;
import org.endivemux.wire.PeerSecurity;

/**
 * Holds the links to other VMs. The id of a VM is the address of its peer port.
 *
 * <p>Invariant: there is at most one link to each VM, opened on first use. Thread-safe.
 */
final class PeerNetwork {
  private final Hello hello;
  private final LinkMetrics metrics;
  private final Map<VmId, PeerLink> links = new ConcurrentHashMap<>();

  PeerNetwork(Hello hello, LinkMetrics metrics) {
    this.hello = hello;
    this.metrics = metrics;
  }

  private PeerLink link(VmId vm) {
    return links.computeIfAbsent(vm, this::open);
  }

  private PeerLink open(VmId vm) {
    return new PeerLink(
            GatewaySettings.address(vm.value()),
            hello,
            PeerSecurity.none(),
            LinkTiming.standard(),
            metrics)
        .start();
  }

  /** Sends a message of the replicated log; drops it if the link is not open. */
  void send(Envelope envelope) {
    PeerLink link = link(envelope.to());
    if (link.isOpen()) {
      link.send(PeerPayload.encode(PeerPayload.CONSENSUS, envelope));
    }
  }

  /** Returns a client for the control service of a VM. */
  ControlClient.VoterClient voterClient(VmId vm) {
    return (request, timeout) ->
        link(vm)
            .request(MessagePackCodec.encode(request), timeout)
            .map(bytes -> MessagePackCodec.decode(bytes, ControlReply.class));
  }
}
