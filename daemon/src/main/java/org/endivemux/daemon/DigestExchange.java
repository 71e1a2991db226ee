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
 * Tells the other entries of its cell what this one has in flight.
 *
 * <p>Invariants: a digest holds whole counts, never differences, so that a lost or late one does no
 * lasting harm; the bytes a second are bounded, however many entries there are: with more of them,
 * digests become rarer. Thread-safe.
 */
final class DigestExchange implements AutoCloseable {
  private static final Duration ROUND = Duration.ofMillis(50);

  /** With nothing new, one round in this many is sent, and none while nothing is in flight. */
  private static final int QUIET_ROUNDS = 10;

  /** Bytes that all digests of one entry may take in a second. */
  private static final int BYTES_PER_SECOND = 3000;

  private static final long MILLIS_PER_SECOND = 1000;
  private static final long BYTES_PER_ROUND =
      BYTES_PER_SECOND * ROUND.toMillis() / MILLIS_PER_SECOND;

  private final VmId self;
  private final Supplier<List<EntryInfo>> entries;
  private final LoadDigests loads;
  private final Function<InetSocketAddress, PeerLink> dial;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private volatile PeerDigest last = new PeerDigest(List.of());
  private final AtomicLong credit = new AtomicLong(BYTES_PER_SECOND);
  private volatile Disposable rounds = () -> {};

  DigestExchange(
      VmId self,
      Supplier<List<EntryInfo>> entries,
      LoadDigests loads,
      Function<InetSocketAddress, PeerLink> dial) {
    this.self = self;
    this.entries = entries;
    this.loads = loads;
    this.dial = dial;
  }

  DigestExchange start() {
    rounds = Flux.interval(ROUND).onBackpressureDrop().subscribe(this::round);
    return this;
  }

  private void round(long number) {
    long present =
        credit.updateAndGet(known -> Math.min(BYTES_PER_SECOND, known + BYTES_PER_ROUND));
    if (present <= 0) {
      return;
    }
    if (entries.get().isEmpty() && links.isEmpty()) {
      return;
    }
    PeerDigest digest = new PeerDigest(loads.digest());
    boolean nothingNew = digest.equals(last);
    boolean needsNoRepeat = digest.inFlight().isEmpty() || number % QUIET_ROUNDS != 0;
    if (nothingNew && needsNoRepeat) {
      return;
    }
    last = digest;
    matchLinks();
    byte[] payload = PeerPayload.encode(PeerPayload.DIGEST, digest);
    links.values().forEach(link -> link.send(payload));
    credit.addAndGet(-(long) links.size() * payload.length);
  }

  private void matchLinks() {
    List<EntryInfo> known = entries.get();
    Set<VmId> cell = Cells.peersOf(self, known.stream().map(EntryInfo::vm).toList());
    Map<String, EntryInfo> wanted =
        known.stream()
            .filter(entry -> cell.contains(entry.vm()))
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
