package org.endivemux.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/**
 * Holds the members of the replicated log in the order in which they joined.
 *
 * <p>Invariants: each disk id occurs at most once; the wanted number of voters is odd and never
 * decreases from one membership to the next. Immutable and thread-safe.
 *
 * @param targetVoters wanted number of voters: the largest odd number of voters that there have
 *     been, while all of them answered; 0 in the memberships of earlier builds, which counts as the
 *     odd number that is at most the present number of voters
 */
public record Membership(List<Member> members, int targetVoters) {

  public Membership {
    members = List.copyOf(members);
    targetVoters = Math.max(targetVoters, largestOddAtMost(voterCount(members)));
  }

  /** Creates an initial membership: its voters are as many as are wanted. */
  public Membership(List<Member> members) {
    this(members, 0);
  }

  private static int voterCount(List<Member> members) {
    return (int) members.stream().filter(Member::voter).count();
  }

  private static int largestOddAtMost(int count) {
    return count % 2 == 0 ? count - 1 : count;
  }

  /** Returns the number of voters. */
  int voterCount() {
    return voterCount(members);
  }

  static Membership none() {
    return new Membership(List.of());
  }

  /** Returns the disk ids that have a vote. */
  public Set<DiskId> voters() {
    return members.stream().filter(Member::voter).map(Member::disk).collect(Collectors.toSet());
  }

  /** Returns the smallest number of voters that is a majority. */
  public int quorum() {
    return voterCount() / 2 + 1;
  }

  /** Returns whether the disk ids include a quorum of the voters. */
  boolean isQuorum(Set<DiskId> disks) {
    return voters().stream().filter(disks::contains).count() >= quorum();
  }

  Optional<Member> member(DiskId disk) {
    return members.stream().filter(member -> member.disk().equals(disk)).findFirst();
  }

  boolean hasVoter(DiskId disk) {
    return member(disk).filter(Member::voter).isPresent();
  }

  Stream<Member> others(DiskId disk) {
    return members.stream().filter(member -> !member.disk().equals(disk));
  }

  /** Returns the VM's member that joined last, whose disk is the one in use. */
  Optional<Member> newestOf(VmId vm) {
    return members.stream()
        .filter(member -> member.vm().equals(vm))
        .reduce((older, newer) -> newer);
  }

  Membership with(Member added) {
    return changed(Stream.concat(others(added.disk()), Stream.of(added)));
  }

  Membership promote(DiskId disk) {
    return changed(
        members.stream().map(member -> member.disk().equals(disk) ? member.withVote() : member));
  }

  Membership without(Predicate<Member> removed) {
    return changed(members.stream().filter(removed.negate()));
  }

  private Membership changed(Stream<Member> changed) {
    return new Membership(changed.toList(), targetVoters);
  }
}
