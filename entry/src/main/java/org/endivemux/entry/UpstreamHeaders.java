package org.endivemux.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.OrganisationId;

/**
 * Filters headers between callers and backend servers by allow-lists.
 *
 * <p>Stateless and thread-safe.
 */
final class UpstreamHeaders {
  private static final List<String> FORWARDED =
      List.of("content-type", "accept", "accept-language", "idempotency-key");
  private static final List<String> RETURNED =
      List.of("content-type", "content-language", "cache-control", "etag", "location");

  private UpstreamHeaders() {}

  /** Returns the headers for a backend server: allowed ones of the caller, and the entry's own. */
  static HttpHeaders of(
      HttpHeaders callerHeaders, OrganisationId organisation, RequestClass requestClass) {
    HttpHeaders headers = new DefaultHttpHeaders();
    FORWARDED.stream()
        .filter(callerHeaders::contains)
        .forEach(name -> headers.set(name, callerHeaders.get(name)));
    headers.set("x-organisation", organisation.value());
    headers.set("x-priority", Integer.toString(requestClass.tier()));
    return headers;
  }

  /** Copies the headers of a response that a caller may see. */
  static void copyReturned(HttpHeaders from, HttpHeaders to) {
    RETURNED.stream().filter(from::contains).forEach(name -> to.set(name, from.get(name)));
  }
}
