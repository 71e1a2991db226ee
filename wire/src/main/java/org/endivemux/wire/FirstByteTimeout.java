package org.endivemux.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import reactor.netty.Connection;

/**
 * Fails a call with a {@code ReadTimeoutException} if its server sends nothing for too long before
 * the response's head is complete.
 *
 * <p>Invariant: a response that arrived in time is read, even if its process was suspended
 * meanwhile. After a suspension timers run before the bytes that wait in the socket are read, so a
 * timeout takes effect only if nothing is read shortly after it either. Confined to the
 * connection's event loop.
 */
public final class FirstByteTimeout extends ReadTimeoutHandler {
  private static final String NAME = "firstByteTimeout";

  /** Enough for the event loop to read what has arrived. */
  private static final Duration CONFIRMATION_DELAY = Duration.ofMillis(100);

  private long reads;

  FirstByteTimeout(Duration limit) {
    super(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Starts the timeout of a call that has been sent on the connection. */
  public static void start(Connection connection, Duration limit) {
    connection.addHandlerFirst(NAME, new FirstByteTimeout(limit));
  }

  /** Ends the timeout once the head of the response has arrived. */
  public static void end(Connection connection) {
    connection.removeHandler(NAME);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    reads++;
    super.channelRead(context, message);
  }

  @Override
  protected void readTimedOut(ChannelHandlerContext context) {
    long readsBefore = reads;
    var unused =
        context
            .executor()
            .schedule(
                () -> confirm(context, readsBefore),
                CONFIRMATION_DELAY.toMillis(),
                TimeUnit.MILLISECONDS);
  }

  private Void confirm(ChannelHandlerContext context, long readsBefore) throws Exception {
    if (reads == readsBefore && !context.isRemoved()) {
      super.readTimedOut(context);
    }
    return null;
  }
}
