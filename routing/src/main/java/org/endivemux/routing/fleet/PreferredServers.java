package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Selects the preferred backend server of each shared prompt part by rendezvous hashing.
 *
 * <p>Invariant: entries that know the same servers select the same one without communicating, and a
 * change of the list moves only the parts that prefer an added or removed server. Stateless and
 * thread-safe.
 */
final class PreferredServers {
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private PreferredServers() {}

  static Optional<ServerLoad> preferredServerOf(PromptPart part, Collection<ServerLoad> servers) {
    return servers.stream()
        .max(
            Comparator.comparingLong((ServerLoad load) -> score(part, load))
                .thenComparing(load -> load.server().id()));
  }

  private static long score(PromptPart part, ServerLoad load) {
    long mixed =
        (part.id().hashCode() * 31L + load.server().id().value().hashCode()) * HASH_MULTIPLIER;
    mixed = (mixed ^ (mixed >>> 29)) * 0xBF58476D1CE4E5B9L;
    return (mixed ^ (mixed >>> 32)) & Long.MAX_VALUE;
  }
}
