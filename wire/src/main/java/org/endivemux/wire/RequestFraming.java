package org.endivemux.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServer;

/**
 * Tells where the requests on a server's connection end.
 *
 * <p>Invariant: a request whose end cannot be told is malformed, and nothing after its head is taken
 * for a request. The HTTP library responds with status 400 and closes the connection. Confined to
 * the connection's event loop.
 */
public final class RequestFraming extends ChannelInboundHandlerAdapter {
  private boolean ignoresRest;

  private RequestFraming() {}

  /** Returns a server that applies this to all its connections. */
  public static HttpServer install(HttpServer server) {
    return server.doOnChannelInit(
        (observer, channel, address) ->
            channel
                .pipeline()
                .addAfter(NettyPipeline.HttpCodec, "requestFraming", new RequestFraming()));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (ignoresRest) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpRequest request && !hasKnownEnd(request.headers())) {
      ignoresRest = true;
      request.setDecoderResult(
          DecoderResult.failure(
              new WireException("The request's transfer encoding is not supported.")));
    }
    super.channelRead(context, message);
  }

  /** The decoder takes a body with any other transfer encoding for an empty one. */
  private static boolean hasKnownEnd(HttpHeaders headers) {
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return encodings.isEmpty()
        || (encodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).strip()));
  }
}
