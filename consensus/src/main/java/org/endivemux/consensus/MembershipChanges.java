package org.endivemux.consensus;

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
  private final CoreState state;
  private final Replication replication;
  private final Map<VmId, DiskId> joining = new HashMap<>();

  MembershipChanges(CoreState state, Replication replication) {
    this.state = state;
    this.replication = replication;
  }

  void onJoin(Envelope envelope) {
    boolean named = state.named.contains(envelope.from());
    boolean known = state.log.membership().member(envelope.fromDisk()).isPresent();
    if (state.leads() && named && !known) {
      joining.put(envelope.from(), envelope.fromDisk());
    }
  }

  /** Proposes the next change when the one before it is committed. */
  void advance(long now) {
    boolean settled = state.log.membershipIndex() <= state.commit;
    if (!replication.isReady() || !settled) {
      return;
    }
    Stream.<Supplier<Optional<Membership>>>of(this::addition, this::promotion, this::removal)
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
