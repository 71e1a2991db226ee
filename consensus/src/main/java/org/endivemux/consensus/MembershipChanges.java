package org.endivemux.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
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
      joiningDisks.put(envelope.from(), envelope.fromDisk());
    }
  }

  /** Proposes the next change once the previous one is committed. */
  void advance(long now) {
    boolean previousCommitted = state.log.membershipIndex() <= state.commit;
    if (!replication.isReady() || !previousCommitted) {
      return;
    }
    Stream.<Supplier<Optional<Membership>>>of(
            this::addition, this::promotion, this::removal, () -> surplusRemoval(now))
        .map(Supplier::get)
        .flatMap(Optional::stream)
        .findFirst()
        .ifPresent(changed -> propose(changed, now));
  }

  private void propose(Membership changed, long now) {
    long index = state.log.lastIndex() + 1;
    replication.append(LogEntry.ofMembership(index, state.term, changed), now);
  }

  private Optional<Membership> addition() {
    Membership current = state.log.membership();
    joiningDisks.values().removeIf(disk -> current.member(disk).isPresent());
    return joiningDisks.entrySet().stream()
        .findFirst()
        .map(
            join ->
                current
                    .without(member -> isLearnerOf(join.getKey(), member))
                    .with(new Member(join.getKey(), join.getValue(), false)));
  }

  private static boolean isLearnerOf(VmId vm, Member member) {
    return !member.voter() && member.vm().equals(vm);
  }

  private Optional<Membership> promotion() {
    Membership current = state.log.membership();
    return current.members().stream()
        .filter(member -> !member.voter() && isNewest(current, member))
        .filter(replication::isCaughtUp)
        .findFirst()
        .map(member -> current.promote(member.disk()));
  }

  private Optional<Membership> removal() {
    Membership current = state.log.membership();
    return current.members().stream()
        .filter(member -> isReplaced(current, member))
        .findFirst()
        .map(removed -> current.without(removed::equals));
  }

  /**
   * Removes the voter that has been silent the longest if the number of voters is even. An even
   * number tolerates no more failures than one voter fewer, so the silent voter is taken to have
   * been replaced by another.
   */
  private Optional<Membership> surplusRemoval(long now) {
    Membership current = state.log.membership();
    boolean isEven = current.voters().size() % 2 == 0;
    return current.members().stream()
        .filter(
            member -> isEven && current.voters().size() >= MIN_VOTERS_TO_REDUCE && member.voter())
        .filter(member -> !member.disk().equals(state.disk))
        .filter(member -> replication.silentNanos(member, now) > REMOVAL_SILENCE_NANOS)
        .max(Comparator.comparingLong(member -> replication.silentNanos(member, now)))
        .map(removed -> current.without(removed::equals));
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
