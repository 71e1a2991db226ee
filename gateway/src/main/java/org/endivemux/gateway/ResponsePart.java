package org.endivemux.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/** Holds a part of an answer to a caller: the head comes first and once. */
public sealed interface ResponsePart {
  /** Holds status and headers. Not changed after it was made. */
  record Head(int status, HttpHeaders headers) implements ResponsePart {}

  /** Holds bytes of the body; for a stream, whole events. The array is handed on. */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are handed on, not compared.
  record Body(byte[] bytes) implements ResponsePart {}
}
