package org.endivemux.control.voter;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivemux.control.message.ControlReply.EntryState;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;

/**
 * Keeps which entries live and which revision each has, as one leader sees it.
 *
 * <p>Soft state: a new leader starts with none and waits until every proof that the leader before
 * it gave has run out. Thread-safe.
 */
public final class EntryRegistry {
  /** How long an entry may decide by state whose freshness was proved when it asked. */
  public static final Duration FRESHNESS = Duration.ofSeconds(2);

  /** How long a silent entry is still counted as one that may hold old state. */
  private static final long MEMORY_NANOS = FRESHNESS.toNanos() * 5 / 4;

  private final Map<VmId, Seen> seen = new HashMap<>();
  private long number = 1;
  private long ledTerm = -1;
  private long ledSince;

  /** Notes a poll and returns the incarnation of the same VM that it replaced, if any. */
  synchronized Optional<Incarnation> polled(EntryInfo entry, long revision, long now) {
    Seen before = seen.put(entry.vm(), new Seen(entry, revision, now));
    if (before == null || !before.entry().equals(entry)) {
      number++;
    }
    return Optional.ofNullable(before)
        .map(seenBefore -> seenBefore.entry().incarnation())
        .filter(incarnation -> !incarnation.equals(entry.incarnation()));
  }

  /** Forgets everything when a new term begins. */
  synchronized void leads(long term, long now) {
    if (term != ledTerm) {
      ledTerm = term;
      ledSince = now;
      seen.clear();
      number++;
    }
  }

  /** Removes silent entries and returns them. */
  synchronized List<EntryInfo> removeSilent(long now) {
    List<EntryInfo> silent =
        seen.values().stream()
            .filter(entry -> now - entry.at() > MEMORY_NANOS)
            .map(Seen::entry)
            .toList();
    silent.forEach(entry -> seen.remove(entry.vm()));
    number += silent.isEmpty() ? 0 : 1;
    return silent;
  }

  /** Returns the number of the present list; it is unique within a term. */
  synchronized long number() {
    return ledTerm * 1_000_000L + number;
  }

  synchronized List<EntryInfo> entries() {
    return seen.values().stream()
        .map(Seen::entry)
        .sorted(Comparator.comparing(EntryInfo::vm))
        .toList();
  }

  synchronized List<EntryState> states() {
    return seen.values().stream()
        .map(entry -> new EntryState(entry.entry(), entry.revision()))
        .sorted(Comparator.comparing(state -> state.entry().vm()))
        .toList();
  }

  /** Returns the entries that may still decide by state older than a revision. */
  synchronized List<VmId> missing(long revision) {
    return seen.values().stream()
        .filter(entry -> entry.revision() < revision)
        .map(entry -> entry.entry().vm())
        .sorted()
        .toList();
  }

  /** Returns whether proofs of an earlier leader have run out. */
  synchronized boolean knowsAll(long now) {
    return now - ledSince > MEMORY_NANOS;
  }

  private record Seen(EntryInfo entry, long revision, long at) {}
}
