package org.endivemux.wire.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;

/** Decides by the fields of a response where its body ends. Stateless and thread-safe. */
final class ResponseLength {
  private ResponseLength() {}

  /** Returns whether only the end of the connection ends the body of a response that has one. */
  static boolean endsWithConnection(HttpMessage response) {
    return !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response);
  }
}
