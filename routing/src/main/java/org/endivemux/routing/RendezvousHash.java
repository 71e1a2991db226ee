package org.endivemux.routing;

import java.util.Comparator;
import java.util.function.Function;

/**
 * Ranks nodes for a key by rendezvous hashing.
 *
 * <p>Invariant: processes that know the same nodes rank them alike, and adding or removing a node
 * does not change the order of the others. Stateless and thread-safe.
 */
public final class RendezvousHash {
  private static final long FIRST_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final long SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9L;

  private RendezvousHash() {}

  /** Returns the order in which the highest ranked node for {@code key} comes last. */
  public static <T> Comparator<T> byRank(String key, Function<T, String> name) {
    return Comparator.comparingLong((T node) -> score(key, name.apply(node))).thenComparing(name);
  }

  private static long score(String key, String node) {
    long mixed = (key.hashCode() * 31L + node.hashCode()) * FIRST_MULTIPLIER;
    mixed = (mixed ^ (mixed >>> 29)) * SECOND_MULTIPLIER;
    return (mixed ^ (mixed >>> 32)) & Long.MAX_VALUE;
  }
}
