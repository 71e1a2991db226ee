package org.endivemux.control.voter;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import org.endivemux.control.ControlException;

/**
 * Lets bytes out to the platform only while this process holds the leader's lease.
 *
 * <p>Stands next to the socket, so that a process that was frozen with work in hand sends nothing
 * when it wakes up. One for each channel; used on its event loop.
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
        promise.setFailure(new ControlException("The lease ended before the order was sent."));
    var unusedClose = context.close();
  }
}
