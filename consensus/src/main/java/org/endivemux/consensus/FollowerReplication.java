package org.endivemux.consensus;

import java.util.List;
import java.util.Optional;
import org.endivemux.consensus.Message.Append;
import org.endivemux.consensus.Message.AppendReply;
import org.endivemux.consensus.Message.InstallSnapshot;

/**
 * Stores the leader's entries and snapshots on a follower or learner.
 *
 * <p>Invariants: an index is acknowledged only once it is synced and matches the leader's log; a
 * committed entry is never replaced. Confined to the core's thread.
 */
final class FollowerReplication {
  private final CoreState state;

  /** Last index known to match the log of the leader of {@link #matchedTerm}. */
  private long matched;

  private long matchedTerm;
  private Optional<Envelope> lastLeaderMessage = Optional.empty();
  private long lastLeaderSentAt;

  FollowerReplication(CoreState state) {
    this.state = state;
  }

  void onAppend(Envelope envelope, Append append, long now) {
    if (!acceptLeader(envelope, append.term(), append.sentAt(), now)) {
      return;
    }
    if (!matchesPrevious(append)) {
      long hint = Math.min(state.log.lastIndex(), append.prevIndex() - 1);
      state.reply(envelope, new AppendReply(state.term, false, Math.max(hint, 0), append.sentAt()));
      return;
    }
    append.entries().stream().filter(this::isNew).forEach(state::appendToLog);
    state.reconcileRole();
    matched = Math.max(matched, append.prevIndex() + append.entries().size());
    state.commitTo(Math.min(append.commit(), matched));
    acknowledge();
  }

  void onSnapshot(Envelope envelope, InstallSnapshot install, long now) {
    if (!acceptLeader(envelope, install.term(), install.sentAt(), now)) {
      return;
    }
    Snapshot snapshot = install.snapshot();
    if (snapshot.index() > state.commit) {
      state.resetLog(snapshot);
      state.commit = snapshot.index();
      state.applied = snapshot.index();
      state.effects.install(snapshot);
      state.reconcileRole();
    }
    matched = Math.max(matched, snapshot.index());
    acknowledge();
  }

  /** Reports the synced entries to the leader. */
  void acknowledge() {
    boolean follows = state.role == Role.FOLLOWER || state.role == Role.LEARNER;
    if (follows && matchedTerm == state.term) {
      long index = Math.min(matched, state.durable);
      lastLeaderMessage.ifPresent(
          leader ->
              state.reply(leader, new AppendReply(state.term, true, index, lastLeaderSentAt)));
    }
  }

  /** Records contact from a leader; rejects it and returns false if its term is outdated. */
  private boolean acceptLeader(Envelope envelope, long term, long sentAt, long now) {
    if (term < state.term) {
      state.reply(envelope, new AppendReply(state.term, false, 0, sentAt));
      return false;
    }
    state.adoptTerm(term);
    state.fire(RoleEvent.LEADER_HEARD);
    state.reconcileRole();
    state.leader = Optional.of(envelope.from());
    state.heardLeaderAt = Optional.of(now);
    state.deferElection(now);
    if (matchedTerm != term) {
      matchedTerm = term;
      matched = 0;
    }
    lastLeaderMessage = Optional.of(envelope);
    lastLeaderSentAt = sentAt;
    return true;
  }

  private boolean matchesPrevious(Append append) {
    if (append.prevIndex() < state.log.snapshot().index()) {
      return lastIndexOf(append) >= state.log.snapshot().index();
    }
    return state.log.termAt(append.prevIndex()).filter(t -> t == append.prevTerm()).isPresent();
  }

  private static long lastIndexOf(Append append) {
    List<LogEntry> entries = append.entries();
    return entries.isEmpty() ? append.prevIndex() : entries.get(entries.size() - 1).index();
  }

  private boolean isNew(LogEntry entry) {
    return entry.index() > state.log.snapshot().index()
        && state.log.termAt(entry.index()).filter(t -> t == entry.term()).isEmpty();
  }
}
