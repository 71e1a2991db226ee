package org.endivemux.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reactor.core.publisher.Flux;

/** Checks what is kept of bodies that arrive in parts. */
final class BoundedBytesTest {
  private static final int PART_BYTES = 1024;
  private static final int LIMIT = 8 * PART_BYTES;

  private static Flux<byte[]> parts(int count) {
    return Flux.range(0, count)
        .map(
            i -> {
              byte[] part = new byte[PART_BYTES];
              part[0] = i.byteValue();
              return part;
            });
  }

  private static byte[] read(int count) {
    return BoundedBytes.collectOrDiscard(
            parts(count), LIMIT, () -> new WireException("The body is too long."))
        .block();
  }

  @Example
  void bodyAtTheLimitIsWholeAndInOrder() {
    byte[] body = read(8);
    assertThat(body).hasSize(LIMIT);
    assertThat(body[0]).isZero();
    assertThat(body[7 * PART_BYTES]).isEqualTo((byte) 7);
  }

  @Example
  void emptyBodyIsABody() {
    assertThat(read(0)).isEmpty();
  }

  @Example
  void bodyOverTheLimitIsAnError() {
    assertThatThrownBy(() -> read(9)).isInstanceOf(WireException.class);
  }

  /** Guards against a body in tiny chunks that takes many times its size in memory. */
  @Example
  void tinyPartsAreHeldInFewArrays() {
    ByteParts parts = new ByteParts();
    IntStream.range(0, LIMIT).forEach(i -> parts.add(new byte[] {(byte) i}));
    assertThat(parts.arrays()).isLessThanOrEqualTo(LIMIT / PART_BYTES);
    parts.add(new byte[PART_BYTES]);
    byte[] body = parts.join();
    assertThat(body).hasSize(LIMIT + PART_BYTES);
    assertThat(IntStream.range(0, LIMIT).allMatch(i -> body[i] == (byte) i)).isTrue();
  }

  /** Guards against a copy of a body that arrived in one part. */
  @Example
  void bodyOfOnePartIsNotCopied() {
    ByteParts parts = new ByteParts();
    byte[] only = new byte[PART_BYTES];
    parts.add(only);
    assertThat(parts.join()).isSameAs(only);
    assertThat(parts.size()).isZero();
  }
}
