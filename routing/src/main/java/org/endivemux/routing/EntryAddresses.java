package org.endivemux.routing;

import java.util.Comparator;
import java.util.List;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.VmId;

/**
 * Selects the entries that one entry names to callers, when there are too many to name all.
 *
 * <p>Invariant: each entry names a different, stable subset, so that the callers of all entries are
 * spread over the whole fleet. Stateless and thread-safe.
 */
public final class EntryAddresses {
  private EntryAddresses() {}

  /** Returns the addresses of at most {@code limit} serving entries. */
  public static List<String> select(VmId self, List<EntryInfo> entries, int limit) {
    Comparator<EntryInfo> byRank = RendezvousHash.byRank(self.value(), entry -> entry.vm().value());
    return entries.stream()
        .filter(EntryInfo::serving)
        .sorted(byRank)
        .limit(limit)
        .map(EntryInfo::httpAddress)
        .toList();
  }
}
