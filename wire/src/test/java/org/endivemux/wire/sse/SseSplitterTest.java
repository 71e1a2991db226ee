package org.endivemux.wire.sse;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Checks that events are split correctly wherever the byte stream is cut into chunks. */
final class SseSplitterTest {
  private static final String STREAM =
      "id: 1\ndata: {\"a\":1}\n\n: comment\n\nid: 22\r\ndata: x\r\n\r\ndata: [DONE]\n\n";

  @Property(tries = 50, seed = "3")
  void chunkSizeDoesNotAffectTheEvents(@ForAll @IntRange(min = 1, max = 40) int piece) {
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    SseSplitter splitter = new SseSplitter();
    List<SseEvent> events = new ArrayList<>();
    for (int at = 0; at < bytes.length; at += piece) {
      int end = Math.min(bytes.length, at + piece);
      events.addAll(splitter.feed(java.util.Arrays.copyOfRange(bytes, at, end)));
    }
    assertThat(events).hasSize(4);
    assertThat(events.get(0).position()).hasValue(1);
    assertThat(events.get(1).position()).isEmpty();
    assertThat(events.get(2).position()).hasValue(22);
    assertThat(events.get(3).isDone()).isTrue();
  }

  @Example
  void incompleteEventIsNotReturned() {
    assertThat(new SseSplitter().feed("id: 1\ndata: x\n".getBytes(StandardCharsets.UTF_8)))
        .isEmpty();
  }

  @Property(tries = 200, seed = "5")
  void arbitraryBytesAreSplitWithoutAnException(@ForAll byte[] bytes) {
    assertThat(new SseSplitter().feed(bytes)).allSatisfy(event -> event.position());
  }
}
