package org.endivemux.consensus;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.endivemux.consensus.Message.Append;
import org.endivemux.consensus.Message.AppendReply;
import org.endivemux.consensus.Message.InstallSnapshot;
import org.endivemux.model.DiskId;

/**
 * Sends the leader's entries and heartbeats, commits entries, and maintains the lease.
 *
 * <p>Invariants: only entries of the current term are committed by counting the members that synced
 * them; the lease starts at the send time of messages that a quorum has answered. Confined to the
 * core's thread.
 */
final class Replication {
  private static final int MAX_BATCH_ENTRIES = 512;
  private static final int BATCH_BYTES_THRESHOLD = 1 << 20;
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final CoreState state;
  private final Map<DiskId, Progress> progress = new HashMap<>();
  private long leaderSince;
  private long firstIndexOfTerm;

  Replication(CoreState state) {
    this.state = state;
  }

  void start(long now) {
    state.fire(RoleEvent.VOTES_WON);
    state.leader = Optional.of(state.self);
    leaderSince = now;
    progress.clear();
    firstIndexOfTerm = state.log.lastIndex() + 1;
    append(LogEntry.startOfTerm(firstIndexOfTerm, state.term), now);
  }

  void tick(long now) {
    if (now - Math.max(leaderSince, quorumAnsweredAt(now)) > state.timing.checkQuorumNanos()) {
      stepDown();
      return;
    }
    others()
        .filter(member -> now - progressOf(member).lastSentAt >= state.timing.heartbeatNanos())
        .forEach(member -> send(member, now));
  }

  void stepDown() {
    state.fire(RoleEvent.QUORUM_LOST);
    state.leader = Optional.empty();
  }

  void append(LogEntry entry, long now) {
    append(List.of(entry), now);
  }

  void append(List<LogEntry> entries, long now) {
    entries.forEach(state::appendToLog);
    others().forEach(member -> send(member, now));
  }

  void onReply(Envelope envelope, AppendReply reply, long now) {
    state.adoptTerm(reply.term());
    if (!state.leads() || reply.term() != state.term) {
      return;
    }
    Optional<Member> member = state.log.membership().member(envelope.fromDisk());
    member.ifPresent(from -> onReplyFrom(from, reply, now));
  }

  private void onReplyFrom(Member member, AppendReply reply, long now) {
    Progress peer = progressOf(member);
    peer.answeredSentAt = Math.max(peer.answeredSentAt, reply.sentAt());
    if (reply.accepted()) {
      peer.matchIndex = Math.max(peer.matchIndex, reply.index());
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
      peer.snapshotBlockedUntil =
          peer.matchIndex >= state.log.snapshot().index() ? NEVER : peer.snapshotBlockedUntil;
      advanceCommit();
    } else {
      peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex, reply.index() + 1));
    }
    boolean snapshotPending =
        peer.nextIndex <= state.log.snapshot().index() && now < peer.snapshotBlockedUntil;
    if (state.leads() && peer.nextIndex <= state.log.lastIndex() && !snapshotPending) {
      send(member, now);
    }
  }

  /** Commits what a quorum has synced; gives up leadership if this member lost its vote. */
  void advanceCommit() {
    if (!state.leads()) {
      return;
    }
    long index = quorumValue(state.durable, peer -> peer.matchIndex);
    boolean ofThisTerm = state.log.termAt(index).filter(term -> term == state.term).isPresent();
    if (index > state.commit && ofThisTerm) {
      state.commitTo(index);
      if (!state.log.membershipAt(state.commit).hasVoter(state.disk)) {
        state.fire(RoleEvent.DEMOTED);
        state.leader = Optional.empty();
      }
    }
  }

  /** Returns whether an entry of this leader's term is committed. */
  boolean isReady() {
    return state.leads() && state.commit >= firstIndexOfTerm;
  }

  /** Returns the time at which the lease ends, on the clock that drives the core. */
  long leaseUntil(long now) {
    return quorumAnsweredAt(now) + state.timing.leaseNanos();
  }

  /** Returns what this leader knows of another member. */
  MemberContact contact(Member member, long now) {
    Progress peer = progressOf(member);
    return new MemberContact(
        peer.answeredSentAt != NEVER,
        now - Math.max(leaderSince, peer.answeredSentAt),
        peer.matchIndex >= state.commit);
  }

  private long quorumAnsweredAt(long now) {
    return quorumValue(now, peer -> peer.answeredSentAt);
  }

  /** Returns the highest value that a quorum of the voters has reached. */
  private long quorumValue(long own, java.util.function.ToLongFunction<Progress> value) {
    Membership membership = state.log.membership();
    LongStream ownValue = membership.hasVoter(state.disk) ? LongStream.of(own) : LongStream.empty();
    LongStream others = others().filter(Member::voter).map(this::progressOf).mapToLong(value);
    return LongStream.concat(ownValue, others)
        .boxed()
        .sorted(Comparator.reverseOrder())
        .skip(membership.quorum() - 1L)
        .findFirst()
        .orElse(NEVER);
  }

  private Stream<Member> others() {
    return state.log.membership().others(state.disk);
  }

  private Progress progressOf(Member member) {
    return progress.computeIfAbsent(
        member.disk(), disk -> new Progress(state.log.lastIndex() + 1, NEVER));
  }

  private void send(Member member, long now) {
    Progress peer = progressOf(member);
    if (peer.nextIndex <= state.log.snapshot().index()) {
      sendSnapshot(member, peer, now);
      return;
    }
    long prev = peer.nextIndex - 1;
    List<LogEntry> entries = batch(peer.nextIndex);
    peer.nextIndex += entries.size();
    peer.lastSentAt = now;
    long prevTerm = state.log.termAt(prev).orElse(0L);
    state.send(member, new Append(state.term, prev, prevTerm, entries, state.commit, now));
  }

  private List<LogEntry> batch(long from) {
    List<LogEntry> entries = state.log.range(from, from + MAX_BATCH_ENTRIES - 1);
    int count = 0;
    long bytes = 0;
    while (count < entries.size() && (count == 0 || bytes < BATCH_BYTES_THRESHOLD)) {
      bytes += entries.get(count).command().size();
      count++;
    }
    return entries.subList(0, count);
  }

  private void sendSnapshot(Member member, Progress peer, long now) {
    peer.lastSentAt = now;
    if (now < peer.snapshotBlockedUntil) {
      Append heartbeat =
          new Append(state.term, state.commit, state.term, List.of(), state.commit, now);
      state.send(member, heartbeat);
      return;
    }
    peer.snapshotBlockedUntil = now + state.timing.checkQuorumNanos();
    state.send(member, new InstallSnapshot(state.term, state.log.snapshot(), now));
  }
}
