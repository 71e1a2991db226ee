package org.endivemux.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks that any body is either parsed as a chat request or refused with a reason. */
final class ChatRequestTest {
  @Property(tries = 200, seed = "6")
  void anyBodyIsAChatRequestOrARefusal(@ForAll String body) {
    try {
      ChatRequest.parse(body.getBytes(StandardCharsets.UTF_8));
    } catch (RefusedException e) {
      assertThat(e.reason().name()).isEqualTo("MALFORMED_BODY");
    }
  }
}
