package org.endivemux.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.endivemux.entry.Dispatcher;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.VmId;
import org.endivemux.wire.PeerLink;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * Tells the other entries what this one has in flight.
 *
 * <p>Invariant: a digest holds whole counts, never differences, so that a lost or late one does no
 * lasting harm. Thread-safe.
 */
final class DigestExchange implements AutoCloseable {
  private static final Duration ROUND = Duration.ofMillis(50);

  /** With nothing new, one round in this many is sent. */
  private static final int QUIET_ROUNDS = 10;

  private final VmId self;
  private final Supplier<List<EntryInfo>> entries;
  private final Dispatcher dispatcher;
  private final Function<InetSocketAddress, PeerLink> dial;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private volatile PeerDigest last = new PeerDigest(Map.of());
  private volatile Disposable rounds = () -> {};

  DigestExchange(
      VmId self,
      Supplier<List<EntryInfo>> entries,
      Dispatcher dispatcher,
      Function<InetSocketAddress, PeerLink> dial) {
    this.self = self;
    this.entries = entries;
    this.dispatcher = dispatcher;
    this.dial = dial;
  }

  DigestExchange start() {
    rounds = Flux.interval(ROUND).onBackpressureDrop().subscribe(this::round);
    return this;
  }

  private void round(long number) {
    PeerDigest digest = new PeerDigest(dispatcher.digest());
    if (digest.equals(last) && number % QUIET_ROUNDS != 0) {
      return;
    }
    last = digest;
    matchLinks();
    byte[] payload = PeerPayload.encode(PeerPayload.DIGEST, digest);
    links.values().forEach(link -> link.send(payload));
  }

  private void matchLinks() {
    Map<String, EntryInfo> wanted =
        entries.get().stream()
            .filter(entry -> !entry.vm().equals(self))
            .collect(Collectors.toMap(EntryInfo::peerAddress, Function.identity(), (a, b) -> b));
    wanted.keySet().forEach(address -> links.computeIfAbsent(address, this::open));
    links.keySet().stream()
        .filter(address -> !wanted.containsKey(address))
        .toList()
        .forEach(address -> links.remove(address).close());
  }

  private PeerLink open(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return dial.apply(new InetSocketAddress(address.substring(0, colon), port));
  }

  @Override
  public void close() {
    rounds.dispose();
    links.values().forEach(PeerLink::close);
  }
}
