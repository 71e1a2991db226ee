package org.endivemux.model.gateway;

import java.util.List;

/**
 * Holds one route of the gateway, found by host and path prefix.
 *
 * <p>Immutable and thread-safe.
 *
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param targetMillis time to the answer, or to its first event, that counts as on time
 * @param priority rank, 0 is the most urgent
 * @param maxServers most backend servers that one request may run on
 * @param open whether callers need no key
 * @param prefixCached whether requests share parts of prompts that engines cache
 * @param gapMillis longest pause between events that counts as on time; 0 when nothing is declared
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

  /** Returns whether a request may be sent again after it may have run. */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
  }
}
