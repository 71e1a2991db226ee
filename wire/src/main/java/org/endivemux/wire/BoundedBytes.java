package org.endivemux.wire;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Collects a body that arrives in chunks, up to a size limit.
 *
 * <p>Invariant: at most the limit is held in memory, whatever the peer sends. Stateless and
 * thread-safe.
 */
public final class BoundedBytes {
  /**
   * How much of an oversized body is read and discarded. A connection that is closed while the peer
   * still sends is reset, which can destroy the response before the peer has read it.
   */
  private static final long MAX_DISCARDED_BYTES = 64L << 20;

  private static final Duration MAX_DISCARD_TIME = Duration.ofSeconds(5);

  private BoundedBytes() {}

  /** Returns the whole body; fails as soon as more than {@code limit} bytes have arrived. */
  public static Mono<byte[]> collect(
      Flux<byte[]> parts, int limit, Supplier<? extends RuntimeException> tooLong) {
    return parts
        .reduceWith(
            ByteParts::new,
            (body, part) -> {
              if (part.length > limit - body.size()) {
                throw tooLong.get();
              }
              body.add(part);
              return body;
            })
        .map(ByteParts::join);
  }

  /**
   * Returns the whole body. If it is longer than {@code limit}, reads and discards the rest, so
   * that the sender can read a response afterwards, and then fails.
   */
  public static Mono<byte[]> collectOrDiscard(
      Flux<byte[]> parts, int limit, Supplier<? extends RuntimeException> tooLong) {
    return collectOrDiscard(parts, bytes -> bytes <= limit, tooLong);
  }

  /**
   * Returns the whole body. Once {@code keeps} is false, reads and discards the rest, so that the
   * sender can read a response afterwards, and then fails.
   *
   * @param keeps whether a body of which so many bytes have arrived is kept
   */
  public static Mono<byte[]> collectOrDiscard(
      Flux<byte[]> parts, LongPredicate keeps, Supplier<? extends RuntimeException> failure) {
    return Mono.defer(
        () -> {
          Collector collector = new Collector(keeps);
          return parts
              .takeUntil(collector::addAndTestExcess)
              .takeUntilOther(collector.discardTimeout())
              .then(Mono.defer(() -> collector.result(failure)));
        });
  }

  /** Reads and discards what arrives of a body, for a bounded time and number of bytes. */
  public static Mono<Void> discard(Flux<byte[]> parts) {
    return discard(parts, MAX_DISCARDED_BYTES, MAX_DISCARD_TIME);
  }

  /** Reads and discards what arrives of a body, at most this much and for at most this long. */
  public static Mono<Void> discard(Flux<byte[]> parts, long maxBytes, Duration maxTime) {
    return Mono.defer(
        () -> {
          AtomicLong bytes = new AtomicLong();
          return parts
              .takeUntil(part -> bytes.addAndGet(part.length) > maxBytes)
              .takeUntilOther(Mono.delay(maxTime))
              .then();
        });
  }

  /** Collects one body. Confined to the connection's event loop. */
  private static final class Collector {
    private final LongPredicate keeps;
    private final ByteParts body = new ByteParts();
    private final Sinks.Empty<Void> discarding = Sinks.empty();
    private boolean discards;
    private long bytes;
    private long discarded;

    Collector(LongPredicate keeps) {
      this.keeps = keeps;
    }

    /** Adds a part; returns whether reading must stop because too much has been discarded. */
    boolean addAndTestExcess(byte[] part) {
      bytes += part.length;
      if (!discards && keeps.test(bytes)) {
        body.add(part);
        return false;
      }
      discards = true;
      discarded += part.length;
      body.clear();
      var unused = discarding.tryEmitEmpty();
      return discarded > MAX_DISCARDED_BYTES;
    }

    Mono<Long> discardTimeout() {
      return discarding.asMono().then(Mono.delay(MAX_DISCARD_TIME));
    }

    Mono<byte[]> result(Supplier<? extends RuntimeException> failure) {
      return discards ? Mono.error(failure.get()) : Mono.fromSupplier(body::join);
    }
  }
}
