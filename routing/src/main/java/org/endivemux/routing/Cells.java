package org.endivemux.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.endivemux.model.VmId;

/**
 * Divides entries into cells, within which they tell each other their load.
 *
 * <p>Invariants: every entry that knows the same list gets the same cells; a cell has at most
 * {@value #MAX_SIZE} entries, so that the links and bytes of one entry do not grow with their
 * number; at today's size all entries are in one cell. Stateless and thread-safe.
 */
public final class Cells {
  /** Most entries in a cell. */
  public static final int MAX_SIZE = 8;

  private static final int SPREAD = 0x9E3779B9;

  private Cells() {}

  /** Returns the other entries of one entry's cell; empty when the entry is not in the list. */
  public static Set<VmId> peersOf(VmId self, List<VmId> entries) {
    List<VmId> ordered =
        entries.stream()
            .distinct()
            .sorted(Comparator.comparingInt(Cells::place).thenComparing(Comparator.naturalOrder()))
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

  private static int place(VmId vm) {
    int mixed = vm.value().hashCode() * SPREAD;
    return mixed ^ (mixed >>> 15);
  }
}
