package org.endivemux.daemon;

import java.util.Map;
import org.endivemux.model.BackendServerId;
import org.endivemux.routing.LoadDigests;

/** Stands for the load of a process that serves no callers. Stateless and thread-safe. */
final class NoLoad implements LoadDigests {
  @Override
  public void peerDigest(String peer, Map<BackendServerId, Integer> inFlight) {
    // A voter sends nothing to backend servers, so the load of entries means nothing to it.
  }

  @Override
  public Map<BackendServerId, Integer> digest() {
    return Map.of();
  }
}
