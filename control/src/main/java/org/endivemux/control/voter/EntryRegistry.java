package org.endivemux.control.voter;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivemux.control.message.ControlReply.EntryState;
import org.endivemux.control.message.ControlReply.PollReply;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import org.endivemux.wire.Packed;

/**
 * Tracks which entries are live and which revision each of them has, as known to one leader.
 *
 * <p>Soft state: a new leader starts with an empty registry and waits until every freshness proof
 * that an earlier leader gave has expired. Thread-safe.
 */
public final class EntryRegistry {
  /** How long after sending a poll an entry may decide by the state that the reply proved fresh. */
  public static final Duration FRESHNESS = Duration.ofSeconds(2);

  /** How long a silent entry still counts as one that may decide by old state. */
  private static final long ENTRY_EXPIRY_NANOS = FRESHNESS.toNanos() * 5 / 4;

  private final Map<VmId, LastPoll> polls = new HashMap<>();
  private Packed packedList = Packed.of(List.of());
  private long packedListNumber;
  private long listChanges = 1;
  private long leaderTerm = -1;
  private long leaderSince;

  /**
   * Records a poll; returns the earlier incarnation of the same VM that it replaces, if any.
   *
   * @param answeredAt when the entry sent the last poll that was answered
   */
  synchronized Optional<Incarnation> recordPoll(
      EntryInfo entry, long revision, long answeredAt, long now) {
    LastPoll previous = polls.put(entry.vm(), new LastPoll(entry, revision, answeredAt, now));
    if (previous == null || !previous.entry().equals(entry)) {
      listChanges++;
    }
    return Optional.ofNullable(previous)
        .map(poll -> poll.entry().incarnation())
        .filter(incarnation -> !incarnation.equals(entry.incarnation()));
  }

  /** Clears the registry if the term is a new one. */
  synchronized void startTerm(long term, long now) {
    if (term != leaderTerm) {
      leaderTerm = term;
      leaderSince = now;
      polls.clear();
      listChanges++;
    }
  }

  /** Removes silent entries and returns them. */
  synchronized List<EntryInfo> removeSilent(long now) {
    List<EntryInfo> silent =
        polls.values().stream()
            .filter(poll -> now - poll.at() > ENTRY_EXPIRY_NANOS)
            .map(LastPoll::entry)
            .toList();
    silent.forEach(entry -> polls.remove(entry.vm()));
    listChanges += silent.isEmpty() ? 0 : 1;
    return silent;
  }

  /** Returns the number of the current list of entries; it is unique within a term. */
  synchronized long listNumber() {
    return leaderTerm * 1_000_000L + listChanges;
  }

  synchronized List<EntryInfo> entries() {
    return polls.values().stream()
        .map(LastPoll::entry)
        .sorted(Comparator.comparing(EntryInfo::vm))
        .toList();
  }

  /** Returns the current list of entries for {@link PollReply}, encoded once for all entries. */
  synchronized Packed packedList() {
    if (packedListNumber != listNumber()) {
      packedList = Packed.of(entries());
      packedListNumber = listNumber();
    }
    return packedList;
  }

  synchronized List<EntryState> states() {
    return polls.values().stream()
        .map(poll -> new EntryState(poll.entry(), poll.revision()))
        .sorted(Comparator.comparing(state -> state.entry().vm()))
        .toList();
  }

  /**
   * Returns the entries in contact that may still decide by state older than a revision. An entry
   * is in contact while the last poll whose reply is known to have reached it is recent.
   */
  synchronized List<VmId> entriesBehind(long revision, long now) {
    return polls.values().stream()
        .filter(poll -> poll.revision() < revision)
        .filter(poll -> now - poll.answeredAt() <= ENTRY_EXPIRY_NANOS)
        .map(poll -> poll.entry().vm())
        .sorted()
        .toList();
  }

  /** Returns whether all freshness proofs of earlier leaders have expired. */
  synchronized boolean earlierProofsExpired(long now) {
    return now - leaderSince > ENTRY_EXPIRY_NANOS;
  }

  private record LastPoll(EntryInfo entry, long revision, long answeredAt, long at) {}
}
