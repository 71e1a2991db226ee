package org.endivemux.wire;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Collects the parts of a body up to a limit. Stateless and thread-safe. */
public final class BoundedBytes {
  private BoundedBytes() {}

  /** Returns the whole body; fails as soon as it is longer than the limit. */
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
