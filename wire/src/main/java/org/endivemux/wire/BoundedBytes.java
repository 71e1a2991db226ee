package org.endivemux.wire;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Collects a body that arrives in chunks, up to a size limit. Stateless and thread-safe. */
public final class BoundedBytes {
  private BoundedBytes() {}

  /** Returns the whole body; fails as soon as more than {@code limit} bytes have arrived. */
  public static Mono<byte[]> collect(
      Flux<byte[]> parts, int limit, Supplier<? extends RuntimeException> tooLong) {
    return parts
        .reduceWith(
            ByteArrayOutputStream::new,
            (out, part) -> {
              if (out.size() + part.length > limit) {
                throw tooLong.get();
              }
              out.writeBytes(part);
              return out;
            })
        .map(ByteArrayOutputStream::toByteArray);
  }
}
