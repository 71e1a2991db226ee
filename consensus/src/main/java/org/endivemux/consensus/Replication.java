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
 * Sends the leader's entries and heartbeats, commits, and keeps the lease.
 *
 * <p>Invariants: only entries of the present term are committed by counting; the lease runs from
 * the send time of messages that a quorum has answered. Confined to the core's thread.
 */
final class Replication {
  private static final int MAX_ENTRIES = 512;
  private static final int MAX_BYTES = 1 << 20;
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final CoreState state;
  private final Map<DiskId, Progress> progress = new HashMap<>();
  private long ledSince;
  private long firstIndexOfTerm;

  Replication(CoreState state) {
    this.state = state;
  }

  void start(long now) {
    state.fire(RoleEvent.VOTES_WON);
    state.leader = Optional.of(state.self);
    ledSince = now;
    progress.clear();
    firstIndexOfTerm = state.log.lastIndex() + 1;
    append(LogEntry.startOfTerm(firstIndexOfTerm, state.term), now);
  }

  void tick(long now) {
    if (now - Math.max(ledSince, quorumAnsweredAt(now)) > state.timing.checkQuorumNanos()) {
      stepDown();
      return;
    }
    others()
        .filter(member -> now - of(member).lastSentAt >= state.timing.heartbeatNanos())
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
    Progress known = of(member);
    known.answeredSentAt = Math.max(known.answeredSentAt, reply.sentAt());
    if (reply.accepted()) {
      known.match = Math.max(known.match, reply.index());
      known.next = Math.max(known.next, known.match + 1);
      known.snapshotBlockedUntil =
          known.match >= state.log.snapshot().index() ? NEVER : known.snapshotBlockedUntil;
      advanceCommit();
    } else {
      known.next = Math.max(known.match + 1, Math.min(known.next, reply.index() + 1));
    }
    boolean waitsForSnapshot =
        known.next <= state.log.snapshot().index() && now < known.snapshotBlockedUntil;
    if (state.leads() && known.next <= state.log.lastIndex() && !waitsForSnapshot) {
      send(member, now);
    }
  }

  /** Commits what a quorum has synced; gives up the lead when its own vote is gone. */
  void advanceCommit() {
    if (!state.leads()) {
      return;
    }
    long index = quorumValue(state.durable, known -> known.match);
    boolean ofThisTerm = state.log.termAt(index).filter(term -> term == state.term).isPresent();
    if (index > state.commit && ofThisTerm) {
      state.commitTo(index);
      if (!state.log.membershipAt(state.commit).hasVoter(state.disk)) {
        state.fire(RoleEvent.DEMOTED);
        state.leader = Optional.empty();
      }
    }
  }

  /** Returns whether an entry of the present term is committed. */
  boolean isReady() {
    return state.leads() && state.commit >= firstIndexOfTerm;
  }

  /** Returns the instant of the core's clock at which the lease ends. */
  long leaseUntil(long now) {
    return quorumAnsweredAt(now) + state.timing.leaseNanos();
  }

  boolean isCaughtUp(Member member) {
    return of(member).match >= state.commit;
  }

  /** Returns how long a member has answered nothing while this one led. */
  long silentNanos(Member member, long now) {
    return now - Math.max(ledSince, of(member).answeredSentAt);
  }

  private long quorumAnsweredAt(long now) {
    return quorumValue(now, known -> known.answeredSentAt);
  }

  /** Returns the highest value that a quorum of the voters has reached. */
  private long quorumValue(long own, java.util.function.ToLongFunction<Progress> value) {
    Membership membership = state.log.membership();
    LongStream ownValue = membership.hasVoter(state.disk) ? LongStream.of(own) : LongStream.empty();
    LongStream others = others().filter(Member::voter).map(this::of).mapToLong(value);
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

  private Progress of(Member member) {
    return progress.computeIfAbsent(
        member.disk(), disk -> new Progress(state.log.lastIndex() + 1, NEVER));
  }

  private void send(Member member, long now) {
    Progress known = of(member);
    if (known.next <= state.log.snapshot().index()) {
      sendSnapshot(member, known, now);
      return;
    }
    long prev = known.next - 1;
    List<LogEntry> entries = batch(known.next);
    known.next += entries.size();
    known.lastSentAt = now;
    long prevTerm = state.log.termAt(prev).orElse(0L);
    state.send(member, new Append(state.term, prev, prevTerm, entries, state.commit, now));
  }

  private List<LogEntry> batch(long from) {
    List<LogEntry> entries = state.log.range(from, from + MAX_ENTRIES - 1);
    int count = 0;
    long bytes = 0;
    while (count < entries.size() && (count == 0 || bytes < MAX_BYTES)) {
      bytes += entries.get(count).command().size();
      count++;
    }
    return entries.subList(0, count);
  }

  private void sendSnapshot(Member member, Progress known, long now) {
    known.lastSentAt = now;
    if (now < known.snapshotBlockedUntil) {
      Append heartbeat =
          new Append(state.term, state.commit, state.term, List.of(), state.commit, now);
      state.send(member, heartbeat);
      return;
    }
    known.snapshotBlockedUntil = now + state.timing.checkQuorumNanos();
    state.send(member, new InstallSnapshot(state.term, state.log.snapshot(), now));
  }
}
