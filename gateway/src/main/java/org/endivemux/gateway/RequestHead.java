package org.endivemux.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalLong;
import org.endivemux.routing.fleet.PromptShape;

/**
 * Holds what a caller said before the body of a request.
 *
 * <p>Not changed after it was made.
 *
 * @param id the caller's name for this try; another try of the caller has another
 * @param uri path and query as they came
 * @param key proves the caller's organisation; never logged and never passed on
 * @param maxWaitMillis how long the caller will wait
 * @param resumeAfter id of the last event that the caller has of a stream
 * @param forwardedHeaders headers for the backend server
 */
public record RequestHead(
    String id,
    String host,
    HttpMethod method,
    String uri,
    Optional<String> key,
    OptionalLong maxWaitMillis,
    OptionalLong resumeAfter,
    PromptShape prompt,
    HttpHeaders forwardedHeaders) {

  /** Returns the path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
