package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.List;
import org.endivemux.routing.RendezvousHash;

/**
 * Selects the preferred backend servers of each shared prompt part by rendezvous hashing.
 *
 * <p>Invariant: entries that know the same servers select the same ones without communicating, and
 * a change of the list moves only the parts that prefer an added or removed server. Stateless and
 * thread-safe.
 */
final class PreferredServers {
  private PreferredServers() {}

  /** Returns at most {@code count} servers, the most preferred one first. */
  static List<ServerLoad> preferredServersOf(
      PromptPart part, Collection<ServerLoad> servers, int count) {
    return RendezvousHash.highest(part.id(), servers, load -> load.server().id().value(), count);
  }
}
