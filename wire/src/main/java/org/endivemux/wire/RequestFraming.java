package org.endivemux.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Tells where the requests on a server's connection end.
 *
 * <p>Invariants: a request whose end cannot be told is malformed, and nothing after its head is
 * taken for a request; a body of which the rest is malformed is never taken for a complete one. The
 * HTTP library responds to both with status 400 and closes the connection. Confined to the
 * connection's event loop.
 */
public final class RequestFraming extends ChannelInboundHandlerAdapter {
  private static final AttributeKey<Boolean> IS_BROKEN =
      AttributeKey.valueOf(RequestFraming.class, "isBroken");

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

  /**
   * Returns a request's body in parts, which fails at its end if the rest of it is malformed.
   *
   * @param malformed creates the failure
   */
  public static Flux<byte[]> body(
      HttpServerRequest request, Supplier<? extends RuntimeException> malformed) {
    return request
        .receive()
        .asByteArray()
        .concatWith(
            Flux.defer(() -> isBroken(request) ? Flux.error(malformed.get()) : Flux.empty()));
  }

  private static boolean isBroken(HttpServerRequest request) {
    AtomicBoolean isBroken = new AtomicBoolean();
    request.withConnection(connection -> isBroken.set(connection.channel().hasAttr(IS_BROKEN)));
    return isBroken.get();
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
    } else if (message instanceof HttpContent content && content.decoderResult().isFailure()) {
      markBroken(context.channel());
    }
    super.channelRead(context, message);
  }

  private static void markBroken(Channel channel) {
    channel.attr(IS_BROKEN).set(true);
  }

  /** The decoder takes a body with any other transfer encoding for an empty one. */
  private static boolean hasKnownEnd(HttpHeaders headers) {
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return encodings.isEmpty()
        || (encodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).strip()));
  }
}
