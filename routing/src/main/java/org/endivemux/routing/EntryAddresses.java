package org.endivemux.routing;

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
    List<EntryInfo> serving = entries.stream().filter(EntryInfo::serving).toList();
    return RendezvousHash.highest(self.value(), serving, entry -> entry.vm().value(), limit)
        .stream()
        .map(EntryInfo::httpAddress)
        .toList();
  }
}
