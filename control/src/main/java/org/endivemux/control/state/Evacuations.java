package org.endivemux.control.state;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivemux.model.FailureDomain;

/**
 * Holds which failure domains are evacuated, and since which revision.
 *
 * <p>Invariants: an order that is already in effect changes nothing; {@link #revisionOf} never
 * returns a revision at which views of entries may still lack the order. Confined to the state
 * machine's thread.
 */
final class Evacuations {
  private final TreeMap<FailureDomain, Long> startedAt = new TreeMap<>();

  /**
   * Revision of the latest end of any evacuation. One number serves all domains, so that names
   * which are no longer evacuated take no memory.
   */
  private long endedAt;

  /** Starts or ends an evacuation; returns the change for entries, if there is one. */
  Optional<ViewChange> order(long index, FailureDomain domain, boolean evacuated) {
    if (startedAt.containsKey(domain) == evacuated) {
      return Optional.empty();
    }
    if (evacuated) {
      startedAt.put(domain, index);
    } else {
      startedAt.remove(domain);
      endedAt = index;
    }
    return Optional.of(new ViewChange.EvacuationChanged(domain, evacuated));
  }

  /** Returns the revision from which views of entries hold the current state of a domain. */
  long revisionOf(FailureDomain domain) {
    return startedAt.getOrDefault(domain, endedAt);
  }

  /** Returns the evacuated domains. */
  Set<FailureDomain> domains() {
    return Set.copyOf(startedAt.keySet());
  }

  Saved save() {
    return new Saved(Map.copyOf(startedAt), endedAt);
  }

  /** Replaces the content. */
  void restore(Saved saved) {
    startedAt.clear();
    startedAt.putAll(saved.startedAt());
    endedAt = saved.endedAt();
  }

  /** The evacuated domains with the revisions of their starts. Immutable and thread-safe. */
  record Saved(Map<FailureDomain, Long> startedAt, long endedAt) {
    static Saved initial() {
      return new Saved(Map.of(), 0);
    }
  }
}
