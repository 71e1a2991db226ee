package org.endivemux.wire;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.function.Consumer;
import reactor.netty.Connection;

/** Reads and writes the frames of a connection. Stateless and thread-safe. */
final class Frames {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOW_WATERMARK_BYTES = 4 << 20;
  private static final int HIGH_WATERMARK_BYTES = 16 << 20;

  private Frames() {}

  static void install(Connection connection) {
    connection
        .channel()
        .config()
        .setOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(LOW_WATERMARK_BYTES, HIGH_WATERMARK_BYTES));
    connection.channel().config().setAutoRead(true);
    connection.addHandlerLast(
        "frameDecoder",
        new LengthFieldBasedFrameDecoder(
            Frame.MAX_BYTES, 0, Frame.LENGTH_BYTES, 0, Frame.LENGTH_BYTES));
  }

  /**
   * Passes each frame to the consumer on the event loop; a malformed frame closes the connection.
   */
  static void receive(Connection connection, LinkMetrics metrics, Consumer<Frame> consumer) {
    connection.addHandlerLast("frames", new FrameReader(metrics, consumer));
  }

  /** Writes a frame unless the connection is closed or its write buffer is full. */
  static boolean write(Channel channel, LinkMetrics metrics, Frame frame) {
    if (!channel.isActive() || !channel.isWritable()) {
      return false;
    }
    metrics.bytesOut().inc(frame.encodedBytes());
    var unused = channel.writeAndFlush(frame.toBuffer(channel.alloc()));
    return true;
  }

  private static final class FrameReader extends SimpleChannelInboundHandler<ByteBuf> {
    private final LinkMetrics metrics;
    private final Consumer<Frame> consumer;

    FrameReader(LinkMetrics metrics, Consumer<Frame> consumer) {
      this.metrics = metrics;
      this.consumer = consumer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
      Frame frame = Frame.read(buffer);
      metrics.bytesIn().inc(frame.encodedBytes());
      consumer.accept(frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atWarning().log("event=peer_link_error cause=%s", cause);
      var unused = context.close();
    }
  }
}
