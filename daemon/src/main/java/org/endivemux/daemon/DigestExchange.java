package org.endivemux.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.VmId;
import org.endivemux.routing.Cells;
import org.endivemux.routing.LoadDigests;
import org.endivemux.wire.PeerLink;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * Periodically sends what this entry has in flight at each backend server to the other entries of
 * its cell.
 *
 * <p>Invariants: a digest holds absolute counts, never differences, so that a lost or late digest
 * causes no lasting error. The bytes sent per second are bounded for any number of entries: with
 * more entries, digests are sent less often. Thread-safe.
 */
final class DigestExchange implements AutoCloseable {
  private static final Duration SEND_INTERVAL = Duration.ofMillis(50);

  /** A fleet that is too large for an exchange between entries is looked at this rarely. */
  private static final Duration PEER_CHECK_INTERVAL = Duration.ofSeconds(1);

  /**
   * An unchanged digest is sent again only once in this many intervals, and not at all while
   * nothing is in flight.
   */
  private static final int UNCHANGED_REPEAT_INTERVALS = 10;

  /** Limit for the bytes of all digests that one entry sends in a second. */
  private static final int MAX_BYTES_PER_SECOND = 3000;

  private static final long MILLIS_PER_SECOND = 1000;
  private static final long BYTES_PER_INTERVAL =
      MAX_BYTES_PER_SECOND * SEND_INTERVAL.toMillis() / MILLIS_PER_SECOND;

  private final VmId self;
  private final Supplier<List<EntryInfo>> entries;
  private final LoadDigests loads;
  private final Function<InetSocketAddress, PeerLink> openLink;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private volatile PeerDigest lastSent = new PeerDigest(List.of());
  private final AtomicLong byteBudget = new AtomicLong(MAX_BYTES_PER_SECOND);
  private volatile Disposable subscription = () -> {};

  DigestExchange(
      VmId self,
      Supplier<List<EntryInfo>> entries,
      LoadDigests loads,
      Function<InetSocketAddress, PeerLink> openLink) {
    this.self = self;
    this.entries = entries;
    this.loads = loads;
    this.openLink = openLink;
  }

  DigestExchange start() {
    subscription =
        Flux.defer(() -> hasPeers() ? sendWhilePeersRemain() : Flux.<Long>empty())
            .repeatWhen(ends -> ends.delayElements(PEER_CHECK_INTERVAL))
            .subscribe();
    return this;
  }

  private boolean hasPeers() {
    return !entries.get().isEmpty() || !links.isEmpty();
  }

  private Flux<Long> sendWhilePeersRemain() {
    return Flux.interval(SEND_INTERVAL)
        .onBackpressureDrop()
        .takeWhile(interval -> hasPeers())
        .doOnNext(this::sendIfDue);
  }

  private void sendIfDue(long interval) {
    long available =
        byteBudget.updateAndGet(
            budget -> Math.min(MAX_BYTES_PER_SECOND, budget + BYTES_PER_INTERVAL));
    if (available <= 0) {
      return;
    }
    PeerDigest digest = new PeerDigest(loads.digest());
    boolean isUnchanged = digest.equals(lastSent);
    boolean isRepeatUnneeded =
        digest.inFlight().isEmpty() || interval % UNCHANGED_REPEAT_INTERVALS != 0;
    if (isUnchanged && isRepeatUnneeded) {
      return;
    }
    lastSent = digest;
    updateLinks();
    byte[] payload = PeerPayload.encode(PeerPayload.DIGEST, digest);
    links.values().forEach(link -> link.send(payload));
    byteBudget.addAndGet(-(long) links.size() * payload.length);
  }

  private void updateLinks() {
    List<EntryInfo> known = entries.get();
    Set<VmId> cell = Cells.peersOf(self, known.stream().map(EntryInfo::vm).toList());
    Map<String, EntryInfo> peersByAddress =
        known.stream()
            .filter(entry -> cell.contains(entry.vm()))
            .collect(Collectors.toMap(EntryInfo::peerAddress, Function.identity(), (a, b) -> b));
    peersByAddress.keySet().forEach(address -> links.computeIfAbsent(address, this::open));
    links.keySet().stream()
        .filter(address -> !peersByAddress.containsKey(address))
        .toList()
        .forEach(address -> links.remove(address).close());
  }

  private PeerLink open(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return openLink.apply(new InetSocketAddress(address.substring(0, colon), port));
  }

  @Override
  public void close() {
    subscription.dispose();
    links.values().forEach(PeerLink::close);
  }
}
