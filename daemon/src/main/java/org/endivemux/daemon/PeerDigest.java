package org.endivemux.daemon;

import java.util.List;
import org.endivemux.model.InFlightAt;

/**
 * Message to other entries with what an entry has in flight at each backend server. Immutable and
 * thread-safe.
 */
record PeerDigest(List<InFlightAt> inFlight) {}
