package org.endivemux.daemon;

import java.util.List;
import org.endivemux.model.InFlightAt;
import org.endivemux.routing.LoadDigests;

/** Load digests of a process that serves no callers. Stateless and thread-safe. */
final class NoLoad implements LoadDigests {
  @Override
  public void peerDigest(String peer, List<InFlightAt> inFlight) {
    // A process without an entry sends nothing to backend servers, so it ignores their load.
  }

  @Override
  public List<InFlightAt> digest() {
    return List.of();
  }
}
