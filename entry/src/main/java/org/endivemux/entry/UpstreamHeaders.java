package org.endivemux.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.OrganisationId;

/**
 * Makes the headers that a backend server sees, from an allow-list.
 *
 * <p>Stateless and thread-safe.
 */
final class UpstreamHeaders {
  private static final List<String> ALLOWED =
      List.of("content-type", "accept", "accept-language", "idempotency-key");
  private static final List<String> RETURNED =
      List.of("content-type", "content-language", "cache-control", "etag", "location");

  private UpstreamHeaders() {}

  static HttpHeaders of(
      HttpHeaders callers, OrganisationId organisation, RequestClass requestClass) {
    HttpHeaders headers = new DefaultHttpHeaders();
    ALLOWED.stream()
        .filter(callers::contains)
        .forEach(name -> headers.set(name, callers.get(name)));
    headers.set("x-organisation", organisation.value());
    headers.set("x-priority", Integer.toString(requestClass.tier()));
    return headers;
  }

  /** Copies the headers of an answer that a caller may see. */
  static void copyReturned(HttpHeaders from, HttpHeaders to) {
    RETURNED.stream().filter(from::contains).forEach(name -> to.set(name, from.get(name)));
  }
}
