package org.endivemux.wire.http;

import static io.netty.handler.codec.http.HttpResponseStatus.SWITCHING_PROTOCOLS;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivemux.wire.http.ResponseFault.Reason;
import org.endivemux.wire.http.StrayBytes.Position;
import reactor.netty.Connection;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Encodes requests and decodes responses on a connection that serves one request after the other.
 *
 * <p>A server may send bytes that answer no request: a second copy of a response, a part of one, or
 * anything else. Invariants: such bytes are never taken for a response or for a part of one; a
 * connection on which they arrived while no request was in progress is closed at once, and one on
 * which they came before a response, or in the same read after it, is closed after that response; a
 * response without an id is accepted for the first request of a connection only, which is then
 * closed; an interim response is never passed on; what {@link StrictResponseDecoder} refuses is not
 * passed on either. A copy of an error response cannot be told from the response to the same
 * request when it is sent again, so a connection remembers the requests that it answered with
 * errors; see {@link #hasAnsweredWithError}.
 *
 * <p>Confined to the connection's event loop.
 */
public final class ExchangeCodec
    extends CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder> {
  /** As long as the longest response that is passed on, since a late copy may be as long. */
  private static final long MAX_SKIPPED_BYTES = 8 << 20;

  /** Bounds the memory of a connection; one that has answered so many with errors is closed. */
  private static final int MAX_ERRORS = 64;

  /** A name that no header has. */
  private static final String NO_ID_HEADER = "";

  private final String idHeader;
  private final ResponseHeads heads;
  private final ExchangeListener listener;
  private final Decoder decoder = new Decoder();
  private Optional<HttpRequest> inProgress = Optional.empty();
  private Optional<String> previous = Optional.empty();
  private final Set<String> answeredWithError = new HashSet<>();
  private boolean isReused;
  private boolean isError;
  private boolean hasHead;
  private long skipped;

  ExchangeCodec(String idHeader, ExchangeListener listener) {
    this.idHeader = idHeader;
    this.heads = new ResponseHeads(idHeader);
    this.listener = listener;
    init(decoder, new Encoder());
  }

  /**
   * Returns a client that uses this codec on all its connections.
   *
   * @param idHeader name of the header in which a request and its response have the request's id
   * @param listener is told what servers do wrong
   */
  public static HttpClient install(HttpClient client, String idHeader, ExchangeListener listener) {
    return client
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .doOnChannelInit(
            (observer, channel, address) ->
                channel
                    .pipeline()
                    .replace(
                        NettyPipeline.HttpCodec,
                        NettyPipeline.HttpCodec,
                        new ExchangeCodec(idHeader, listener)));
  }

  /** Returns a client that uses this codec, with one connection for each call and without ids. */
  public static HttpClient installWithoutIds(HttpClient client, ExchangeListener listener) {
    return install(client, NO_ID_HEADER, listener);
  }

  /**
   * Returns whether a request was answered with an error on this connection before. It must not be
   * sent there again, since a late copy of that error could be taken for the response. Called on
   * the connection's event loop.
   *
   * @param id value of the id header of the request
   */
  public static boolean hasAnsweredWithError(Connection connection, String id) {
    return connection.channel().pipeline().get(NettyPipeline.HttpCodec) instanceof ExchangeCodec it
        && it.answeredWithError.contains(id);
  }

  private void start(HttpRequest request) {
    inProgress = Optional.of(request);
    // No earlier request can have left anything on a new connection.
    hasHead = !isReused;
    skipped = 0;
    decoder.requestStarted();
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof LastHttpContent) {
      super.write(context, message, promise.unvoid().addListener(this::requestEnded));
    } else {
      super.write(context, message, promise);
    }
  }

  private void requestEnded(Future<?> written) {
    if (written.isSuccess()) {
      decoder.requestWritten();
    }
  }

  @Override
  public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
    decoder.closing(context.channel().isActive());
    super.close(context, promise);
  }

  /** Ends the exchange; {@code rest} holds what was read after the end of its response. */
  private void end(ChannelHandlerContext context, ByteBuf rest) {
    if (rest.isReadable()) {
      closeAfterResponse(context);
      drop(context, Position.AFTER_RESPONSE, rest);
    }
    previous = requestId();
    if (isError) {
      previous.ifPresent(answeredWithError::add);
    }
    if (answeredWithError.size() >= MAX_ERRORS) {
      closeAfterResponse(context);
    }
    inProgress = Optional.empty();
    isReused = true;
  }

  private Optional<String> requestId() {
    return inProgress.map(request -> request.headers().get(idHeader));
  }

  private void drop(ChannelHandlerContext context, Position position, ByteBuf bytes) {
    report(context, position, bytes.readableBytes());
    bytes.skipBytes(bytes.readableBytes());
  }

  private void report(ChannelHandlerContext context, Position position, long count) {
    listener.strayBytes(
        new StrayBytes(context.channel().remoteAddress(), position, previous, requestId(), count));
  }

  private static void closeAfterResponse(ChannelHandlerContext context) {
    Connection.from(context.channel()).markPersistent(false);
  }

  private final class Encoder extends HttpRequestEncoder {
    @Override
    protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        start(request);
      }
      super.encode(context, message, out);
    }
  }

  private final class Decoder extends StrictResponseDecoder {
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
        throws Exception {
      if (inProgress.isEmpty()) {
        drop(context, Position.IDLE, buffer);
        var unused = context.close();
        return;
      }
      if (hasFailed()) {
        buffer.skipBytes(buffer.readableBytes());
        return;
      }
      if (!hasHead && !findHead(context, buffer)) {
        return;
      }
      int before = buffer.readableBytes();
      List<Object> messages = decodeNext(context, buffer);
      if (messages.isEmpty()) {
        return;
      }
      if (isInterim(messages.get(0))) {
        skip(context, before - buffer.readableBytes());
        return;
      }
      decoded(context, messages.get(0), messages.get(messages.size() - 1), buffer);
      out.addAll(messages);
    }

    /** The library would take an interim response for the final one. */
    private boolean isInterim(Object message) {
      return message instanceof HttpResponse response
          && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
          && !response.status().equals(SWITCHING_PROTOCOLS);
    }

    private void decoded(ChannelHandlerContext context, Object first, Object last, ByteBuf rest) {
      if (first instanceof HttpResponse response) {
        isError = response.status().codeClass() != HttpStatusClass.SUCCESS;
        boolean isSwitch = response.status().equals(SWITCHING_PROTOCOLS);
        if (isSwitch || !response.headers().contains(idHeader)) {
          closeAfterResponse(context);
        }
      }
      if (last instanceof LastHttpContent) {
        end(context, rest);
      }
    }

    private boolean findHead(ChannelHandlerContext context, ByteBuf buffer) {
      int before = buffer.readableBytes();
      hasHead = heads.skipTo(buffer, requestId());
      skip(context, before - buffer.readableBytes());
      if (hasHead && skipped > 0) {
        closeAfterResponse(context);
        report(context, Position.BEFORE_RESPONSE, skipped);
      }
      return hasHead && !hasFailed();
    }

    private void skip(ChannelHandlerContext context, long count) {
      skipped += count;
      if (skipped > MAX_SKIPPED_BYTES) {
        fail(
            context,
            new TooLongFrameException(
                "The server sent more than " + MAX_SKIPPED_BYTES + " bytes that are no response."));
      }
    }

    @Override
    void responseFailed(ChannelHandlerContext context, Reason reason) {
      listener.responseFault(
          new ResponseFault(context.channel().remoteAddress(), requestId(), reason));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      if (inProgress.isPresent() && !hasHead && skipped > 0) {
        report(context, Position.BEFORE_RESPONSE, skipped);
      }
      super.channelInactive(context);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      boolean isHead = inProgress.filter(it -> it.method().equals(HttpMethod.HEAD)).isPresent();
      return isHead || super.isContentAlwaysEmpty(message);
    }
  }
}
