package org.endivemux.daemon;

import java.util.List;
import org.endivemux.model.InFlightAt;

/** Tells other entries what one has in flight at each backend server. Immutable, thread-safe. */
record PeerDigest(List<InFlightAt> inFlight) {}
