package org.endivemux.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.endivemux.wire.http.ResponseFault.Reason;
import reactor.netty.Connection;

/**
 * Decodes responses and refuses those whose fields or whose end are uncertain.
 *
 * <p>Invariants: a response with a malformed status or line, or with an ambiguous length, is an
 * error that ends its connection, and its head is not passed on. A body that only the end of its
 * connection ends is complete only if the server ended the connection in order, which shows as the
 * end of what can be read, and after the whole request had been written. Before that the server may
 * have failed with the request, and with a reset that is met by a write the rest of the response is
 * lost. After any other end of the connection no end of the body is passed on.
 *
 * <p>The channel must allow half-closure: without it, the end that the server made looks like any
 * other. Confined to the connection's event loop.
 */
abstract class StrictResponseDecoder extends HttpResponseDecoder {
  private FieldSection head = FieldSection.ofHead();
  private Optional<ChunkedBody> chunks = Optional.empty();

  /** How many bytes from the reader index on have been checked and not been decoded. */
  private int checkedBytes;

  /** Whether a body is in progress that only the end of the connection ends. */
  private boolean endsWithConnection;

  private boolean isRequestWritten;
  private boolean isEndRead;
  private boolean isConnectionBroken;
  private boolean isClosedHere;
  private boolean hasFailed;

  /** Called at the first failure of a response for which its server is responsible. */
  abstract void responseFailed(ChannelHandlerContext context, Reason reason);

  /** Called before a request is written. */
  final void requestStarted() {
    isRequestWritten = false;
  }

  /** Called when the socket has accepted the last byte of the request. */
  final void requestWritten() {
    isRequestWritten = true;
  }

  /**
   * Called before this side closes the channel.
   *
   * @param isActive whether the channel is still open; after a failed write it is not
   */
  final void closing(boolean isActive) {
    isClosedHere = isClosedHere || (isActive && !isConnectionBroken);
  }

  final boolean hasFailed() {
    return hasFailed;
  }

  /** Ends the response in progress and its connection with an error. */
  final void fail(ChannelHandlerContext context, Throwable cause) {
    markFailed(
        context,
        cause instanceof ResponseFaultException fault ? fault.reason() : Reason.NOT_DECODABLE);
    context.fireExceptionCaught(cause);
    var unused = context.close();
  }

  private void markFailed(ChannelHandlerContext context, Reason reason) {
    hasFailed = true;
    responseFailed(context, reason);
  }

  /**
   * Decodes what comes next of a response, whose head starts at the reader index if none of it has
   * been decoded. Returns no message if there is none yet or if the response has failed.
   */
  final List<Object> decodeNext(ChannelHandlerContext context, ByteBuf buffer) throws Exception {
    List<Object> messages = new ArrayList<>();
    try {
      checkBytes(buffer);
      int before = buffer.readableBytes();
      super.decode(context, buffer, messages);
      checkedBytes = Math.max(0, checkedBytes - (before - buffer.readableBytes()));
      checkMessages(messages);
      return messages;
    } catch (ResponseFaultException e) {
      fail(context, e);
    } catch (UndecodableException e) {
      fail(context, e.getCause());
    }
    messages.forEach(ReferenceCountUtil::release);
    buffer.skipBytes(buffer.readableBytes());
    return List.of();
  }

  private void checkBytes(ByteBuf buffer) {
    int from = buffer.readerIndex() + checkedBytes;
    int to = buffer.writerIndex();
    int end = head.isAtEnd() ? checkChunks(buffer, from, to) : head.check(buffer, from, to);
    checkedBytes = end - buffer.readerIndex();
  }

  private int checkChunks(ByteBuf buffer, int from, int to) {
    return chunks.map(body -> body.check(buffer, from, to)).orElse(from);
  }

  private void checkMessages(List<Object> messages) {
    messages.stream()
        .filter(DecoderResultProvider.class::isInstance)
        .map(message -> ((DecoderResultProvider) message).decoderResult().cause())
        .filter(Objects::nonNull)
        .findFirst()
        .ifPresent(StrictResponseDecoder::rethrow);
    boolean hasEnd = messages.stream().anyMatch(LastHttpContent.class::isInstance);
    if (hasEnd) {
      responseEnded();
    } else if (!messages.isEmpty() && messages.get(0) instanceof HttpMessage response) {
      bodyStarted(response);
    }
  }

  private static void rethrow(Throwable cause) {
    if (cause instanceof ResponseFaultException fault) {
      throw fault;
    }
    throw new UndecodableException(cause);
  }

  private void bodyStarted(HttpMessage response) {
    ResponseLength.check(response);
    endsWithConnection = ResponseLength.endsWithConnection(response);
    chunks =
        HttpUtil.isTransferEncodingChunked(response)
            ? Optional.of(new ChunkedBody())
            : Optional.empty();
  }

  private void responseEnded() {
    head = FieldSection.ofHead();
    chunks = Optional.empty();
    checkedBytes = 0;
    endsWithConnection = false;
  }

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    if (!ResponseStatus.isValid(statusLine[1])) {
      throw new ResponseFaultException(
          Reason.MALFORMED_STATUS, "The status " + statusLine[1] + " is malformed.");
    }
    return super.createMessage(statusLine);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw ResponseLength.lengthBesideCoding();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    isConnectionBroken = true;
    super.exceptionCaught(context, cause);
  }

  /** Learns that the server has ended the connection in order, and closes it. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (!(event instanceof ChannelInputShutdownEvent)) {
      super.userEventTriggered(context, event);
      return;
    }
    isEndRead = !isConnectionBroken;
    Connection.from(context.channel()).markPersistent(false);
    super.userEventTriggered(context, event);
    var unused = context.close();
  }

  /** Ends a body that ends with its connection, if it is complete. */
  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (hasFailed) {
      return;
    }
    if (!endsWithConnection || (isEndRead && isRequestWritten)) {
      super.decodeLast(context, buffer, out);
    } else if (isEndRead) {
      markFailed(context, Reason.REQUEST_UNFINISHED);
    } else if (!isClosedHere) {
      markFailed(context, Reason.CONNECTION_BROKEN);
    }
  }

  /** Carries the HTTP library's reason for not decoding a response. Immutable. */
  private static final class UndecodableException extends RuntimeException {
    private static final long serialVersionUID = 1;

    UndecodableException(Throwable cause) {
      super(cause);
    }
  }
}
