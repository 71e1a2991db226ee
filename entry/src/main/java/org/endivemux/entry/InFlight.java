package org.endivemux.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.RequestId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Tracks the requests in progress, so that shutdown can wait for them and a withdrawn key can end
 * its chat requests. Thread-safe.
 */
final class InFlight {
  private final Map<RequestId, Item> items = new ConcurrentHashMap<>();

  /** Adds a request and returns a signal that completes when its key is withdrawn. */
  Mono<Void> add(RequestId id, KeyDigest key) {
    Item item = new Item(key, Sinks.empty());
    items.put(id, item);
    return item.withdrawn().asMono();
  }

  void remove(RequestId id) {
    items.remove(id);
  }

  int size() {
    return items.size();
  }

  /** Signals the requests whose keys have been withdrawn. */
  void endWithdrawn(Authenticator authenticator) {
    items.values().stream()
        .filter(item -> authenticator.isWithdrawn(item.key()))
        .forEach(item -> item.withdrawn().tryEmitEmpty());
  }

  private record Item(KeyDigest key, Sinks.Empty<Void> withdrawn) {}
}
