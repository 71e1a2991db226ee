package org.endivemux.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import reactor.netty.Connection;

/**
 * Closes a client's connection on which a server sends interim responses (1xx) without end.
 *
 * <p>Confined to the connection's event loop.
 */
public final class InterimResponseLimit extends ChannelInboundHandlerAdapter {
  /** Servers send one or two interim responses before the final one. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  private int interimResponses;

  private InterimResponseLimit() {}

  /** Adds the limit to a new connection. */
  public static void install(Connection connection) {
    connection.addHandlerLast("interimLimit", new InterimResponseLimit());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof HttpResponse response) {
      boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      interimResponses = interim ? interimResponses + 1 : 0;
    }
    if (interimResponses <= MAX_INTERIM_RESPONSES) {
      super.channelRead(context, message);
    } else if (interimResponses == MAX_INTERIM_RESPONSES + 1) {
      context.fireExceptionCaught(new WireException("Too many interim responses."));
      var unused = context.close();
    }
  }
}
