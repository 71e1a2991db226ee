package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.Optional;
import org.endivemux.routing.RendezvousHash;

/**
 * Selects the preferred backend server of each shared prompt part by rendezvous hashing.
 *
 * <p>Invariant: entries that know the same servers select the same one without communicating, and a
 * change of the list moves only the parts that prefer an added or removed server. Stateless and
 * thread-safe.
 */
final class PreferredServers {
  private PreferredServers() {}

  static Optional<ServerLoad> preferredServerOf(PromptPart part, Collection<ServerLoad> servers) {
    return servers.stream()
        .max(RendezvousHash.byRank(part.id(), load -> load.server().id().value()));
  }
}
