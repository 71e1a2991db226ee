package org.endivemux.daemon;

import java.util.List;
import org.endivemux.model.InFlightAt;
import org.endivemux.routing.LoadDigests;

/** Stands for the load of a process that serves no callers. Stateless and thread-safe. */
final class NoLoad implements LoadDigests {
  @Override
  public void peerDigest(String peer, List<InFlightAt> inFlight) {
    // A voter sends nothing to backend servers, so the load of entries means nothing to it.
  }

  @Override
  public List<InFlightAt> digest() {
    return List.of();
  }
}
