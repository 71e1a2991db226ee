package org.endivemux.model.gateway;

import java.util.List;

/**
 * Holds one route of the gateway, selected by host and path prefix.
 *
 * <p>Immutable and thread-safe.
 *
 * @param timeoutMillis maximum time that a caller waits
 * @param targetMillis maximum time to the response, or to its first event, that counts as on time
 * @param priority 0 is the most urgent
 * @param maxServers maximum number of backend servers that one request may run on
 * @param open whether callers need no key
 * @param prefixCached whether requests share prompt prefixes that engines cache
 * @param gapMillis maximum pause between events that counts as on time; 0 when not declared
 */
public record HostRoute(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMillis,
    long targetMillis,
    int priority,
    List<Share> shares,
    int maxServers,
    boolean open,
    boolean prefixCached,
    boolean resumable,
    long gapMillis) {

  public HostRoute {
    shares = List.copyOf(shares);
  }

  /** Returns whether a request that may have run may be retried. */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
  }
}
