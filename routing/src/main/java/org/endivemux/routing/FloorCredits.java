package org.endivemux.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.endivemux.model.ClassName;
import org.endivemux.model.Declaration.RequestClass;

/**
 * Tracks which waiting classes are owed an assignment, so that each gets its floor share of all.
 *
 * <p>Invariant: no class is owed more than two. Not thread-safe: confined to its scheduler.
 */
final class FloorCredits {
  private static final double MAX_CREDIT = 2;

  private final Map<ClassName, Double> credits = new HashMap<>();

  /** Returns whether a class goes before those that are owed nothing. */
  boolean isOwed(ClassName name) {
    return credits.getOrDefault(name, 0.0) >= 1;
  }

  /** Credits every other waiting class with its floor share; debits the chosen class by one. */
  void assigned(ClassName chosen, Stream<RequestClass> waiting) {
    waiting
        .filter(other -> !other.name().equals(chosen))
        .forEach(
            other ->
                credits.merge(
                    other.name(),
                    other.floorShare(),
                    (known, more) -> Math.min(MAX_CREDIT, known + more)));
    credits.computeIfPresent(chosen, (name, known) -> Math.max(0, known - 1));
  }
}
