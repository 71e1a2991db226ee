package org.endivemux.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.endivemux.wire.http.ResponseFault.Reason;
import reactor.netty.Connection;
import reactor.netty.NettyPipeline;

/** Tests which end of a connection is the end of a response without a length. */
final class ResponseEndTest {
  private static final String PART = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\npart";

  private final RecordingListener listener = new RecordingListener();
  private final PendingWrites writes = new PendingWrites();
  private final EmbeddedChannel channel = new EmbeddedChannel();

  ResponseEndTest() {
    channel
        .pipeline()
        .addLast(writes)
        .addLast(NettyPipeline.HttpCodec, new ExchangeCodec("Request-Id", listener));
    var unused =
        channel.write(
            new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.copiedBuffer(new byte[1])));
    channel.writeInbound(Unpooled.copiedBuffer(PART, StandardCharsets.US_ASCII));
  }

  @Example
  void orderlyEndAfterTheRequestEndsTheResponse() {
    writes.succeed();
    endInput();
    assertThat(hasEnd()).isTrue();
    assertThat(listener.faults()).isEmpty();
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against a server that fails within the request and whose part counts as the whole. */
  @Example
  void orderlyEndWithinTheRequestIsAFault() {
    endInput();
    assertFault(Reason.REQUEST_UNFINISHED);
  }

  /** Guards against a write that fails right before the end of the input is read. */
  @Example
  void orderlyEndAfterAFailedWriteIsAFault() {
    writes.fail();
    endInput();
    assertFault(Reason.REQUEST_UNFINISHED);
  }

  /** Guards against a reset that is met by a write: the channel ends, and nothing else is seen. */
  @Example
  void connectionThatEndsWithoutTheEndOfTheInputIsAFault() {
    writes.succeed();
    channel.unsafe().close(channel.voidPromise());
    channel.runPendingTasks();
    assertFault(Reason.CONNECTION_BROKEN);
  }

  /** Guards against a reset after which the end of the input is reported too. */
  @Example
  void endOfTheInputAfterAnErrorIsAFault() {
    writes.succeed();
    channel.pipeline().addLast(new IgnoredErrors());
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
    endInput();
    assertFault(Reason.CONNECTION_BROKEN);
  }

  /** Guards against faults that servers are blamed for when the caller of a stream leaves. */
  @Example
  void ownEndNeitherEndsTheResponseNorIsAFault() {
    writes.succeed();
    assertThat(channel.close().isDone()).isTrue();
    assertThat(hasEnd()).isFalse();
    assertThat(listener.faults()).isEmpty();
  }

  /** Guards against a connection that another request takes before it is closed. */
  @Example
  void idleConnectionIsClosedWhenTheServerEndsIt() {
    writes.succeed();
    EmbeddedChannel idle = new EmbeddedChannel(new ExchangeCodec("Request-Id", listener));
    idle.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertThat(idle.isOpen()).isFalse();
    assertThat(Connection.from(idle).isPersistent()).isFalse();
    assertThat(listener.faults()).isEmpty();
  }

  private void endInput() {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    channel.runPendingTasks();
  }

  private void assertFault(Reason reason) {
    assertThat(hasEnd()).isFalse();
    assertThat(listener.faults()).extracting(ResponseFault::reason).containsExactly(reason);
    assertThat(channel.isOpen()).isFalse();
  }

  private boolean hasEnd() {
    List<Object> messages = new ArrayList<>(channel.inboundMessages());
    messages.forEach(ReferenceCountUtil::release);
    return messages.stream().anyMatch(LastHttpContent.class::isInstance);
  }

  /** Keeps writes until a test decides how they end. */
  private static final class PendingWrites extends ChannelOutboundHandlerAdapter {
    private final List<ChannelPromise> promises = new ArrayList<>();

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      promises.add(promise);
    }

    void succeed() {
      promises.forEach(ChannelPromise::trySuccess);
    }

    void fail() {
      promises.forEach(promise -> promise.tryFailure(new IOException("Broken pipe")));
    }
  }

  /** Drops errors that have passed the codec, which the channel would throw in the test. */
  private static final class IgnoredErrors extends io.netty.channel.ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // The test looks at what the codec makes of the error.
    }
  }
}
