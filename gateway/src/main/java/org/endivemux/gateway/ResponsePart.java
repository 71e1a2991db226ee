package org.endivemux.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/** Holds a part of a response to a caller. The head comes first, exactly once. */
public sealed interface ResponsePart {
  /** Holds the status and the headers. Not modified after construction. */
  record Head(int status, HttpHeaders headers) implements ResponsePart {}

  /** Holds bytes of the body; for a stream, complete events. The array is passed on, not copied. */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are passed on, not compared.
  record Body(byte[] bytes) implements ResponsePart {}
}
