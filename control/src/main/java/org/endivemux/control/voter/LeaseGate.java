package org.endivemux.control.voter;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import org.endivemux.control.ControlException;

/**
 * Writes to the platform only while this process holds the leader's lease; otherwise fails the
 * write and closes the channel.
 *
 * <p>This is the handler next to the socket, so that a process that was suspended with pending
 * writes sends nothing when it resumes without the lease. One for each channel; used on its event
 * loop.
 */
public final class LeaseGate extends ChannelOutboundHandlerAdapter {
  private final BooleanSupplier holdsLease;

  public LeaseGate(BooleanSupplier holdsLease) {
    this.holdsLease = holdsLease;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (holdsLease.getAsBoolean()) {
      var unusedWrite = context.write(message, promise);
      return;
    }
    ReferenceCountUtil.release(message);
    var unusedPromise =
        promise.setFailure(new ControlException("The lease expired before the order was sent."));
    var unusedClose = context.close();
  }
}
