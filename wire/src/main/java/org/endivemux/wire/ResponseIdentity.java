package org.endivemux.wire;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Optional;
import reactor.netty.Connection;

/**
 * Decides whether a response belongs to the request for which it was read.
 *
 * <p>A server may send a second copy of a response late, where the next one is expected. Only the
 * request's id in the response tells them apart. Invariant: a connection is used again only while
 * each of its responses names its request. Stateless and thread-safe.
 */
public final class ResponseIdentity {
  private static final AttributeKey<Boolean> IS_REUSED =
      AttributeKey.valueOf(ResponseIdentity.class, "isReused");

  private ResponseIdentity() {}

  /**
   * Returns whether the response belongs to the request; closes the connection after a response
   * that names no request.
   *
   * @param named the id of the request that the response names
   */
  public static boolean belongsTo(String request, Optional<String> named, Connection connection) {
    Channel channel = connection.channel();
    boolean isReused = channel.hasAttr(IS_REUSED);
    channel.attr(IS_REUSED).set(true);
    if (named.isEmpty()) {
      connection.markPersistent(false);
    }
    return named.map(request::equals).orElse(!isReused);
  }
}
