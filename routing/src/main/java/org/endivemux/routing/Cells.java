package org.endivemux.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.endivemux.model.VmId;

/**
 * Divides entries into cells, whose members send each other their load.
 *
 * <p>Invariants: entries that know the same list compute the same cells; the size of a cell is
 * limited, so that the links and traffic of one entry do not grow with the total number of entries;
 * up to {@value #MAX_SIZE} entries form a single cell. Stateless and thread-safe.
 */
public final class Cells {
  /** Maximum number of entries in a cell. */
  public static final int MAX_SIZE = 8;

  private static final int HASH_MULTIPLIER = 0x9E3779B9;

  private Cells() {}

  /** Returns the other members of an entry's cell; empty when the entry is not in the list. */
  public static Set<VmId> peersOf(VmId self, List<VmId> entries) {
    List<VmId> ordered =
        entries.stream()
            .distinct()
            .sorted(Comparator.comparingInt(Cells::hash).thenComparing(Comparator.naturalOrder()))
            .toList();
    int cells = (ordered.size() + MAX_SIZE - 1) / MAX_SIZE;
    int own = ordered.indexOf(self);
    return own < 0
        ? Set.of()
        : IntStream.range(0, ordered.size())
            .filter(i -> i != own && i % cells == own % cells)
            .mapToObj(ordered::get)
            .collect(Collectors.toUnmodifiableSet());
  }

  private static int hash(VmId vm) {
    int mixed = vm.value().hashCode() * HASH_MULTIPLIER;
    return mixed ^ (mixed >>> 15);
  }
}
