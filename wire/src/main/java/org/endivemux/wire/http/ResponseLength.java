package org.endivemux.wire.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Decides by the fields of a response where its body ends, as RFC 9112, section 6.3, does.
 *
 * <p>A length beside a transfer coding is an error of the server: the section advises to handle it
 * as one, since the two may state different ends. A transfer coding other than {@code chunked} was
 * not asked for and cannot be decoded, except {@code identity}, which changes nothing; a body with
 * it ends with its connection. Stateless and thread-safe.
 */
final class ResponseLength {
  private static final List<String> CHUNKED = List.of(HttpHeaderValues.CHUNKED.toString());
  private static final List<String> IDENTITY = List.of(HttpHeaderValues.IDENTITY.toString());

  private ResponseLength() {}

  /**
   * Checks the fields that state the length of a response.
   *
   * @throws ResponseFaultException if they leave open where the body ends
   */
  static void check(HttpMessage response) {
    HttpHeaders headers = response.headers();
    if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      return;
    }
    if (headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      throw lengthBesideCoding();
    }
    List<String> codings = transferCodings(headers);
    if (!codings.equals(CHUNKED) && !codings.equals(IDENTITY)) {
      throw ambiguous("The response has an unknown transfer coding: " + codings);
    }
  }

  /** Returns the error of a response that has both a length and a transfer coding. */
  static ResponseFaultException lengthBesideCoding() {
    return ambiguous("The response has a length beside a transfer coding.");
  }

  /** Returns whether only the end of the connection ends the body of a response that has one. */
  static boolean endsWithConnection(HttpMessage response) {
    return !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response);
  }

  private static List<String> transferCodings(HttpHeaders headers) {
    return headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
        .flatMap(value -> Arrays.stream(value.split(",", -1)))
        .map(coding -> coding.strip().toLowerCase(Locale.ROOT))
        .toList();
  }

  private static ResponseFaultException ambiguous(String message) {
    return new ResponseFaultException(ResponseFault.Reason.AMBIGUOUS_LENGTH, message);
  }
}
