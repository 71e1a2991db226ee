package org.endivemux.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalLong;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.routing.fleet.PromptShape;

/**
 * Holds the part of a request that precedes its body.
 *
 * <p>Not modified after construction.
 *
 * @param id the caller's id for this attempt; each attempt of the caller has its own
 * @param uri path and query as received
 * @param key proves the caller's organisation; never logged and never forwarded
 * @param maxWaitMillis how long the caller will wait
 * @param resumeAfter id of the last event of a stream that the caller has received
 * @param resumedAttempt id of the caller's attempt that brought the first event of the stream that
 *     this request resumes, if it says so
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
    Optional<String> resumedAttempt,
    PromptShape prompt,
    HttpHeaders forwardedHeaders) {

  /**
   * Returns the key of the request's stream, over all of the caller's attempts. A request that
   * resumes no stream cannot name another attempt's.
   */
  StreamKey streamKey() {
    return StreamKey.of(resumedAttempt.filter(first -> resumeAfter.isPresent()).orElse(id));
  }

  /** Returns the path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
