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
 * Brings a VM's new disk into the membership and its lost one out of it.
 *
 * <p>Invariants: one change at a time, none before an entry of the present term is committed; a
 * disk gets a vote only once it has caught up, and the VM's old disk loses its vote after that.
 * Confined to the core's thread.
 */
final class MembershipChanges {
  /** Longer than a restart, so that only a voter that is gone is removed. */
  private static final long SILENT_NANOS = Duration.ofSeconds(8).toNanos();

  /** Fewest voters among which one can be a surplus; two are never reduced to one. */
  private static final int SMALLEST_SURPLUS = 4;

  private final CoreState state;
  private final Replication replication;
  private final Map<VmId, DiskId> joining = new HashMap<>();

  MembershipChanges(CoreState state, Replication replication) {
    this.state = state;
    this.replication = replication;
  }

  void onJoin(Envelope envelope) {
    boolean allowed = state.founding.mayJoin(envelope.from());
    boolean known = state.log.membership().member(envelope.fromDisk()).isPresent();
    if (state.leads() && allowed && !known) {
      joining.put(envelope.from(), envelope.fromDisk());
    }
  }

  /** Proposes the next change when the one before it is committed. */
  void advance(long now) {
    boolean settled = state.log.membershipIndex() <= state.commit;
    if (!replication.isReady() || !settled) {
      return;
    }
    Stream.<Supplier<Optional<Membership>>>of(
            this::addition, this::promotion, this::removal, () -> surplus(now))
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
    Membership present = state.log.membership();
    joining.values().removeIf(disk -> present.member(disk).isPresent());
    return joining.entrySet().stream()
        .findFirst()
        .map(
            join ->
                present
                    .without(member -> isLearnerOf(join.getKey(), member))
                    .with(new Member(join.getKey(), join.getValue(), false)));
  }

  private static boolean isLearnerOf(VmId vm, Member member) {
    return !member.voter() && member.vm().equals(vm);
  }

  private Optional<Membership> promotion() {
    Membership present = state.log.membership();
    return present.members().stream()
        .filter(member -> !member.voter() && isNewest(present, member))
        .filter(replication::isCaughtUp)
        .findFirst()
        .map(member -> present.promote(member.disk()));
  }

  private Optional<Membership> removal() {
    Membership present = state.log.membership();
    return present.members().stream()
        .filter(member -> isReplaced(present, member))
        .findFirst()
        .map(lost -> present.without(lost::equals));
  }

  /**
   * Removes a voter that has been silent for long when the number of voters is even: that number
   * tolerates no more losses than one fewer, so the voter is one that another has replaced.
   */
  private Optional<Membership> surplus(long now) {
    Membership present = state.log.membership();
    boolean isEven = present.voters().size() % 2 == 0;
    return present.members().stream()
        .filter(member -> isEven && present.voters().size() >= SMALLEST_SURPLUS && member.voter())
        .filter(member -> !member.disk().equals(state.disk))
        .filter(member -> replication.silentNanos(member, now) > SILENT_NANOS)
        .max(Comparator.comparingLong(member -> replication.silentNanos(member, now)))
        .map(lost -> present.without(lost::equals));
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
