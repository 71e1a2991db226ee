package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Gives each shared prompt part a home among the backend servers by rendezvous hashing.
 *
 * <p>Invariant: entries that know the same servers name the same home without a word between them,
 * and a change of the list moves only the parts whose home came or went. Stateless and thread-safe.
 */
final class HomeServers {
  private static final long SPREAD = 0x9E3779B97F4A7C15L;

  private HomeServers() {}

  static Optional<ServerLoad> homeOf(PromptPart part, Collection<ServerLoad> servers) {
    return servers.stream()
        .max(
            Comparator.comparingLong((ServerLoad load) -> score(part, load))
                .thenComparing(load -> load.server().id()));
  }

  private static long score(PromptPart part, ServerLoad load) {
    long mixed = (part.id().hashCode() * 31L + load.server().id().value().hashCode()) * SPREAD;
    mixed = (mixed ^ (mixed >>> 29)) * 0xBF58476D1CE4E5B9L;
    return (mixed ^ (mixed >>> 32)) & Long.MAX_VALUE;
  }
}
