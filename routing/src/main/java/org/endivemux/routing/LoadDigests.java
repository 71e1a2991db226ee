package org.endivemux.routing;

import java.util.List;
import org.endivemux.model.InFlightAt;

/** Exchanges in-flight counts with other entries. Implementations are thread-safe. */
public interface LoadDigests {
  /** Replaces what another entry has in flight. */
  void peerDigest(String peer, List<InFlightAt> inFlight);

  /** Returns what this entry has in flight at each backend server that has any. */
  List<InFlightAt> digest();
}
