package org.endivemux.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests when a call fails because its server is silent. */
final class FirstByteTimeoutTest {
  private static final Duration LIMIT = Duration.ofSeconds(4);
  private static final Duration CONFIRMED = Duration.ofSeconds(1);

  private final EmbeddedChannel channel = new EmbeddedChannel();

  FirstByteTimeoutTest() {
    channel.freezeTime();
    channel.pipeline().addLast(new FirstByteTimeout(LIMIT));
  }

  @Example
  void silentServerFailsTheCall() {
    pass(LIMIT);
    pass(CONFIRMED);
    assertThatThrownBy(channel::checkException).isInstanceOf(ReadTimeoutException.class);
    assertThat(channel.isOpen()).isFalse();
  }

  @Example
  void bytesThatAreReadRightAfterTheTimeoutKeepTheCall() {
    pass(LIMIT);
    channel.writeInbound(Unpooled.copyInt(1));
    pass(CONFIRMED);
    assertThatCode(channel::checkException).doesNotThrowAnyException();
  }

  @Example
  void serverThatFallsSilentAfterItsFirstByteFailsTheCall() {
    channel.writeInbound(Unpooled.copyInt(1));
    pass(LIMIT);
    pass(CONFIRMED);
    assertThatThrownBy(channel::checkException).isInstanceOf(ReadTimeoutException.class);
  }

  private void pass(Duration time) {
    channel.advanceTimeBy(time.toNanos(), TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
  }
}
