package org.endivemux.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Holds a snapshot and the entries after it, in memory.
 *
 * <p>Invariants: indexes are contiguous; terms never decrease; committed entries are never
 * truncated. Confined to the core's thread.
 */
final class ReplicatedLog {
  private Snapshot snapshot;
  private final List<LogEntry> entries = new ArrayList<>();
  private Membership membership;

  ReplicatedLog(Snapshot snapshot, List<LogEntry> recovered) {
    this.snapshot = snapshot;
    recovered.stream().filter(entry -> entry.index() > snapshot.index()).forEach(entries::add);
    this.membership = latestMembership();
  }

  long lastIndex() {
    return entries.isEmpty() ? snapshot.index() : entries.get(entries.size() - 1).index();
  }

  long lastTerm() {
    return entries.isEmpty() ? snapshot.term() : entries.get(entries.size() - 1).term();
  }

  Snapshot snapshot() {
    return snapshot;
  }

  /** Returns the latest membership in the log or snapshot, whether committed or not. */
  Membership membership() {
    return membership;
  }

  /** Returns the index of the latest membership, or of the snapshot if no entry has one. */
  long membershipIndex() {
    return entries.stream()
        .filter(entry -> entry.membership().isPresent())
        .mapToLong(LogEntry::index)
        .max()
        .orElse(snapshot.index());
  }

  /** Returns the term at an index, or empty if the entry is compacted or does not exist. */
  Optional<Long> termAt(long index) {
    if (index == snapshot.index()) {
      return Optional.of(snapshot.term());
    }
    return entry(index).map(LogEntry::term);
  }

  Optional<LogEntry> entry(long index) {
    long offset = index - snapshot.index() - 1;
    return offset >= 0 && offset < entries.size()
        ? Optional.of(entries.get((int) offset))
        : Optional.empty();
  }

  /** Returns the entries in a range of indexes, both ends included. */
  List<LogEntry> range(long from, long to) {
    int start = (int) Math.max(0, from - snapshot.index() - 1);
    int end = (int) Math.min(entries.size(), to - snapshot.index());
    return start >= end ? List.of() : List.copyOf(entries.subList(start, end));
  }

  void append(LogEntry entry) {
    if (entry.index() <= lastIndex()) {
      truncateFrom(entry.index());
    }
    entries.add(entry);
    entry.membership().ifPresent(changed -> membership = changed);
  }

  void compact(Snapshot newer) {
    entries.removeIf(entry -> entry.index() <= newer.index());
    snapshot = newer;
    membership = latestMembership();
  }

  void reset(Snapshot installed) {
    entries.clear();
    snapshot = installed;
    membership = installed.membership();
  }

  /** Returns the membership in force at an index. */
  Membership membershipAt(long index) {
    return Stream.concat(
            Stream.of(snapshot.membership()),
            entries.stream()
                .filter(entry -> entry.index() <= index)
                .flatMap(entry -> entry.membership().stream()))
        .reduce((older, newer) -> newer)
        .orElse(Membership.none());
  }

  private void truncateFrom(long index) {
    entries.removeIf(entry -> entry.index() >= index);
    membership = latestMembership();
  }

  private Membership latestMembership() {
    return membershipAt(Long.MAX_VALUE);
  }
}
