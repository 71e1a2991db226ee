package org.endivemux.daemon;

import java.util.Map;
import org.endivemux.model.BackendServerId;

/** Tells other entries what one has in flight at each backend server. Immutable, thread-safe. */
record PeerDigest(Map<BackendServerId, Integer> inFlight) {}
