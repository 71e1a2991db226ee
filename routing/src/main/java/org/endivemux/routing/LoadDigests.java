package org.endivemux.routing;

import java.util.Map;
import org.endivemux.model.BackendServerId;

/** Exchanges with other entries what each has in flight. Implementations are thread-safe. */
public interface LoadDigests {
  /** Takes over what another entry has in flight. */
  void peerDigest(String peer, Map<BackendServerId, Integer> inFlight);

  /** Returns what this entry has in flight at each backend server that has any. */
  Map<BackendServerId, Integer> digest();
}
