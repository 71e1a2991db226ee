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
 * <p>Invariant: each disk id occurs at most once. Immutable and thread-safe.
 */
public record Membership(List<Member> members) {

  public Membership {
    members = List.copyOf(members);
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
    return voters().size() / 2 + 1;
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
    return new Membership(Stream.concat(others(added.disk()), Stream.of(added)).toList());
  }

  Membership promote(DiskId disk) {
    return new Membership(
        members.stream()
            .map(member -> member.disk().equals(disk) ? member.withVote() : member)
            .toList());
  }

  Membership without(Predicate<Member> removed) {
    return new Membership(members.stream().filter(removed.negate()).toList());
  }
}
