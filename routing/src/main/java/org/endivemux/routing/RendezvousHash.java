package org.endivemux.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

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

  /** Returns at most {@code count} nodes, the highest ranked one for {@code key} first. */
  public static <T> List<T> highest(
      String key, Collection<T> nodes, Function<T, String> name, int count) {
    return nodes.stream()
        .map(node -> new Scored<>(node, name.apply(node), score(key, name.apply(node))))
        .sorted(Comparator.comparingLong(Scored<T>::score).thenComparing(Scored::name).reversed())
        .limit(count)
        .map(Scored::node)
        .toList();
  }

  /**
   * Returns the nodes, the highest ranked one for {@code key} first; over many keys each node comes
   * first in proportion to its weight.
   *
   * @param weight returns a positive number
   */
  public static <T> List<T> rankedByWeight(
      String key, Collection<T> nodes, Function<T, String> name, ToDoubleFunction<T> weight) {
    return nodes.stream()
        .sorted(
            Comparator.comparingDouble(
                    (T node) ->
                        weightedScore(score(key, name.apply(node)), weight.applyAsDouble(node)))
                .thenComparing(name)
                .reversed())
        .toList();
  }

  private static double weightedScore(long score, double weight) {
    double uniform = (score + 1.0) / (Long.MAX_VALUE + 2.0);
    return -weight / Math.log(uniform);
  }

  private static long score(String key, String node) {
    long mixed = (key.hashCode() * 31L + node.hashCode()) * FIRST_MULTIPLIER;
    mixed = (mixed ^ (mixed >>> 29)) * SECOND_MULTIPLIER;
    return (mixed ^ (mixed >>> 32)) & Long.MAX_VALUE;
  }

  private record Scored<T>(T node, String name, long score) {}
}
