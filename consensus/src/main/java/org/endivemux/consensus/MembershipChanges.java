package org.endivemux.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.endivemux.consensus.MembershipChange.Cause;
import org.endivemux.consensus.MembershipEvent.JoinRequested;
import org.endivemux.consensus.MembershipEvent.Proposed;
import org.endivemux.consensus.MembershipEvent.Silence;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/**
 * Adds new disks of VMs to the membership and removes the disks that they replace.
 *
 * <p>Invariants: one change at a time, and none before an entry of the current term is committed; a
 * disk gets a vote only once it has caught up, and only then is the VM's old disk removed. Confined
 * to the core's thread.
 */
final class MembershipChanges {
  /** Longer than a restart takes, so that a restarting voter is not removed. */
  private static final long REMOVAL_SILENCE_NANOS = Duration.ofSeconds(8).toNanos();

  /** Smallest number of voters that is reduced; two are never reduced to one. */
  private static final int MIN_VOTERS_TO_REDUCE = 4;

  private final CoreState state;
  private final Replication replication;
  private final Map<VmId, DiskId> joiningDisks = new HashMap<>();

  MembershipChanges(CoreState state, Replication replication) {
    this.state = state;
    this.replication = replication;
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
    Stream.<Supplier<Optional<MembershipChange>>>of(
            this::addition, this::promotion, this::removal, () -> surplusRemoval(now))
        .map(Supplier::get)
        .flatMap(Optional::stream)
        .findFirst()
        .ifPresent(changed -> propose(changed, now));
  }

  private void propose(MembershipChange change, long now) {
    long index = state.log.lastIndex() + 1;
    state.effects.report(new Proposed(index, state.term, change, silences(now)));
    replication.append(LogEntry.ofMembership(index, state.term, change.result()), now);
  }

  private List<Silence> silences(long now) {
    return state
        .log
        .membership()
        .others(state.disk)
        .filter(Member::voter)
        .map(member -> new Silence(member.vm(), replication.silentNanos(member, now)))
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

  private Optional<MembershipChange> promotion() {
    Membership current = state.log.membership();
    return current.members().stream()
        .filter(member -> !member.voter() && isNewest(current, member))
        .filter(replication::isCaughtUp)
        .findFirst()
        .map(
            member ->
                new MembershipChange(Cause.CAUGHT_UP, member, current.promote(member.disk())));
  }

  private Optional<MembershipChange> removal() {
    Membership current = state.log.membership();
    return current.members().stream()
        .filter(member -> isReplaced(current, member))
        .findFirst()
        .map(removed -> removal(Cause.REPLACED_AT_ITS_VM, removed));
  }

  /**
   * Removes the voter that has been silent the longest if the number of voters is even. An even
   * number tolerates no more failures than one voter fewer, so the silent voter is taken to have
   * been replaced by another.
   */
  private Optional<MembershipChange> surplusRemoval(long now) {
    Membership current = state.log.membership();
    boolean isEven = current.voters().size() % 2 == 0;
    return current.members().stream()
        .filter(
            member -> isEven && current.voters().size() >= MIN_VOTERS_TO_REDUCE && member.voter())
        .filter(member -> !member.disk().equals(state.disk))
        .filter(member -> replication.silentNanos(member, now) > REMOVAL_SILENCE_NANOS)
        .max(Comparator.comparingLong(member -> replication.silentNanos(member, now)))
        .map(removed -> removal(Cause.SILENT, removed));
  }

  private MembershipChange removal(Cause cause, Member removed) {
    return new MembershipChange(cause, removed, state.log.membership().without(removed::equals));
  }

  private static boolean isNewest(Membership membership, Member member) {
    return membership.newestOf(member.vm()).filter(member::equals).isPresent();
  }

  private static boolean isReplaced(Membership membership, Member member) {
    return membership
        .newestOf(member.vm())
        .filter(newest -> newest.voter() && !newest.equals(member))
        .isPresent();
  }
}
