package org.endivemux.consensus;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivemux.consensus.MembershipChange.Cause;
import org.endivemux.consensus.MembershipEvent.JoinRequested;
import org.endivemux.consensus.MembershipEvent.PromotionDeferred;
import org.endivemux.consensus.MembershipEvent.Proposed;
import org.endivemux.consensus.MembershipEvent.Silence;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/**
 * Adds the disks that ask to join as learners and proposes what {@link MembershipPolicy} chooses.
 *
 * <p>Invariants: one change at a time, and none before an entry of the current term is committed.
 * Confined to the core's thread.
 */
final class MembershipChanges {
  private final CoreState state;
  private final Replication replication;
  private final Map<VmId, DiskId> joiningDisks = new HashMap<>();
  private Optional<Member> deferred = Optional.empty();

  MembershipChanges(CoreState state, Replication replication) {
    this.state = state;
    this.replication = replication;
  }

  /** Forgets what an earlier term of this leader left: those who still wait ask again. */
  void start() {
    joiningDisks.clear();
    deferred = Optional.empty();
  }

  void onJoin(Envelope envelope) {
    boolean allowed = state.bootstrap.mayJoin(envelope.from());
    boolean known = state.log.membership().member(envelope.fromDisk()).isPresent();
    if (state.leads() && allowed && !known) {
      DiskId earlier = joiningDisks.put(envelope.from(), envelope.fromDisk());
      if (!envelope.fromDisk().equals(earlier)) {
        state.effects.report(new JoinRequested(learner(envelope.from(), envelope.fromDisk())));
      }
    }
  }

  /** Proposes the next change once the previous one is committed. */
  void advance(long now) {
    boolean previousCommitted = state.log.membershipIndex() <= state.commit;
    if (!replication.isReady() || !previousCommitted) {
      return;
    }
    MembershipPolicy policy = policy(now);
    Optional<MembershipChange> change = addition().or(policy::next);
    change.ifPresent(next -> propose(next, now));
    if (change.isEmpty()) {
      policy.readyLearner().ifPresent(learner -> reportDeferred(learner, now));
    }
  }

  private MembershipPolicy policy(long now) {
    return new MembershipPolicy(
        state.log.membership(),
        state.disk,
        state.timing,
        member -> replication.contact(member, now));
  }

  private void propose(MembershipChange change, long now) {
    long index = state.log.lastIndex() + 1;
    state.effects.report(new Proposed(index, state.term, change, silences(now)));
    replication.append(LogEntry.ofMembership(index, state.term, change.result()), now);
  }

  private void reportDeferred(Member learner, long now) {
    if (!deferred.equals(Optional.of(learner))) {
      deferred = Optional.of(learner);
      state.effects.report(new PromotionDeferred(learner, silences(now)));
    }
  }

  private List<Silence> silences(long now) {
    return state
        .log
        .membership()
        .others(state.disk)
        .filter(Member::voter)
        .map(member -> new Silence(member.vm(), replication.contact(member, now).silentNanos()))
        .toList();
  }

  private Optional<MembershipChange> addition() {
    Membership current = state.log.membership();
    joiningDisks.values().removeIf(disk -> current.member(disk).isPresent());
    return joiningDisks.entrySet().stream()
        .findFirst()
        .map(join -> learner(join.getKey(), join.getValue()))
        .map(
            member ->
                new MembershipChange(
                    Cause.JOINED,
                    member,
                    current.without(other -> isLearnerOf(member.vm(), other)).with(member)));
  }

  private static Member learner(VmId vm, DiskId disk) {
    return new Member(vm, disk, false);
  }

  private static boolean isLearnerOf(VmId vm, Member member) {
    return !member.voter() && member.vm().equals(vm);
  }
}
