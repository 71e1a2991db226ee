package org.endivemux.routing.fleet;

import java.util.List;
import java.util.function.Supplier;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.VmId;
import org.endivemux.routing.RendezvousHash;

/**
 * Ranks the live entries for each server, so that entries agree without communication on which of
 * them send to it.
 *
 * <p>Invariant: entries with the same list of entries have different ranks for the same server, and
 * each change of the list is noticed by {@link #refresh}. Not thread-safe.
 */
final class EntryRanks {
  private final VmId self;
  private final Supplier<List<EntryInfo>> liveEntries;
  private List<EntryInfo> entries = List.of();
  private List<VmId> ids = List.of();
  private long changedAt;

  /**
   * @param self this entry
   * @param liveEntries returns the list of live entries, empty as long as it is not known
   */
  EntryRanks(VmId self, Supplier<List<EntryInfo>> liveEntries) {
    this.self = self;
    this.liveEntries = liveEntries;
  }

  /** Reads the current list of entries. */
  void refresh(long now) {
    List<EntryInfo> current = liveEntries.get();
    if (current != entries) {
      entries = current;
      List<VmId> newer = current.stream().map(EntryInfo::vm).distinct().sorted().toList();
      if (!newer.equals(ids)) {
        ids = newer;
        changedAt = now;
      }
    }
  }

  /** Returns the number of live entries, 0 as long as they are not known. */
  int count() {
    return ids.size();
  }

  /** Returns since when the list has been as it is, in monotonic nanoseconds. */
  long changedAt() {
    return changedAt;
  }

  /** Returns this entry's rank for a server; beyond all others if it is not among the entries. */
  int rank(BackendServerId server) {
    int rank = RendezvousHash.highest(server.value(), ids, VmId::value, ids.size()).indexOf(self);
    return rank < 0 ? Integer.MAX_VALUE : rank;
  }
}
