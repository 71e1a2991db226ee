package org.endivemux.control.client;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamStarts;

/**
 * Remembers which software version began each stream of this entry, and which of them a leader has
 * not heard of.
 *
 * <p>Invariants: a stream is reported with each poll until one that names it is answered; at most
 * {@link #MAX_STREAMS} are remembered, the newest ones. Thread-safe.
 */
public final class StreamLedger {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Some minutes of an entry's streams at its largest rate. */
  static final int MAX_STREAMS = 8_192;

  private final LongSupplier nanos;

  /** All streams that may still be resumed, oldest first. */
  private final LinkedHashMap<StreamKey, Start> starts = new LinkedHashMap<>();

  private final LinkedHashMap<StreamKey, Start> unreported = new LinkedHashMap<>();

  private record Start(
      ServiceName service, SoftwareVersion version, long lifetimeMillis, long expiresAt) {}

  /**
   * @param nanos monotonic time
   */
  public StreamLedger(LongSupplier nanos) {
    this.nanos = nanos;
  }

  /**
   * Records that a server of a version has sent the first event of a stream.
   *
   * @param lifetimeMillis how long the stream may be resumed
   */
  public synchronized void began(
      StreamKey stream, ServiceName service, SoftwareVersion version, long lifetimeMillis) {
    long now = nanos.getAsLong();
    Start start =
        new Start(service, version, lifetimeMillis, now + lifetimeMillis * NANOS_PER_MILLI);
    removeExpired(now);
    starts.put(stream, start);
    unreported.put(stream, start);
    removeBeyondLimit(starts);
    if (removeBeyondLimit(unreported)) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("event=streams_not_reported");
    }
  }

  /** Removes the expired streams at the front; streams of other lifetimes behind them wait. */
  private void removeExpired(long now) {
    var oldest = starts.values().iterator();
    while (oldest.hasNext() && oldest.next().expiresAt() - now <= 0) {
      oldest.remove();
    }
  }

  private static boolean removeBeyondLimit(Map<StreamKey, Start> streams) {
    boolean isBeyond = streams.size() > MAX_STREAMS;
    if (isBeyond) {
      streams.remove(streams.keySet().iterator().next());
    }
    return isBeyond;
  }

  /** Returns the version that began a stream at this entry. */
  public synchronized Optional<SoftwareVersion> version(ServiceName service, StreamKey stream) {
    return Optional.ofNullable(starts.get(stream))
        .filter(start -> start.service().equals(service))
        .filter(start -> start.expiresAt() - nanos.getAsLong() > 0)
        .map(Start::version);
  }

  /** Returns the streams that no leader is known to have heard of. */
  synchronized List<StreamStarts> unreported() {
    return StreamStarts.joined(
        unreported.entrySet().stream().map(it -> report(it.getKey(), it.getValue())).toList());
  }

  private static StreamStarts report(StreamKey stream, Start start) {
    return new StreamStarts(
        start.service(), start.version(), start.lifetimeMillis(), List.of(stream));
  }

  /** Records that a leader has answered a poll with these streams. */
  synchronized void reported(List<StreamStarts> reported) {
    reported.forEach(it -> unreported.keySet().removeAll(it.streams()));
  }
}
