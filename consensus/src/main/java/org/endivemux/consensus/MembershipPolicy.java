package org.endivemux.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.endivemux.consensus.MembershipChange.Cause;
import org.endivemux.model.DiskId;

/**
 * Chooses the next change of the membership from what a leader knows of the members.
 *
 * <p>Invariants: a learner gets its vote only once it has caught up and answers; the quorum grows
 * only while all voters answer; a voter is removed only if a newer disk of its VM or a learner that
 * is ready takes its place, or if the number of voters is even, so that the removal does not lower
 * the number of failures that are tolerated. Everything that it needs is in the log or is known
 * again {@link Timing#replacementSilenceNanos} after an election, so a change of leader delays a
 * replacement but does not undo it. Immutable; confined to the core's thread.
 */
final class MembershipPolicy {
  /** Longer than a restart takes, so that a restarting voter is not removed. */
  private static final long REDUCTION_SILENCE_NANOS = Duration.ofSeconds(8).toNanos();

  /** Longer than a learner takes to install a snapshot or to restart. */
  private static final long LEARNER_SILENCE_NANOS = Duration.ofSeconds(30).toNanos();

  /** Smallest number of voters that is reduced; two are never reduced to one. */
  private static final int MIN_VOTERS_TO_REDUCE = 4;

  private final Membership current;
  private final DiskId self;
  private final Timing timing;
  private final Function<Member, MemberContact> contacts;

  /** Creates a policy for the leader with disk {@code self}. */
  MembershipPolicy(
      Membership current, DiskId self, Timing timing, Function<Member, MemberContact> contacts) {
    this.current = current;
    this.self = self;
    this.timing = timing;
    this.contacts = contacts;
  }

  /** Returns the next change, if one is due. */
  Optional<MembershipChange> next() {
    Optional<Member> learner = readyLearner();
    return learner.isPresent() ? admission(learner.get()) : reduction();
  }

  /** Returns a learner that can get a vote, though perhaps not at once. */
  Optional<Member> readyLearner() {
    return current.members().stream()
        .filter(member -> !member.voter() && isNewest(member))
        .filter(member -> contact(member).caughtUp() && isAnswering(member))
        .findFirst();
  }

  /**
   * Returns the next step to admit a learner. While a voter neither answers nor has been silent for
   * long, there is none: a vote more would raise the quorum, perhaps beyond those that answer.
   */
  private Optional<MembershipChange> admission(Member learner) {
    if (completesTarget()) {
      return Optional.of(promotion(learner));
    }
    Optional<MembershipChange> removal = removalFor(learner);
    boolean maySimplyGrow = removal.isEmpty() && allVotersAnswer();
    return maySimplyGrow ? Optional.of(promotion(learner)) : removal;
  }

  /** Returns whether one voter is missing and one more does not raise the quorum. */
  private boolean completesTarget() {
    return isEven() && current.voterCount() < current.targetVoters();
  }

  private Optional<MembershipChange> removalFor(Member learner) {
    Optional<Member> earlierDisk =
        removableVoters().filter(voter -> voter.vm().equals(learner.vm())).findFirst();
    return earlierDisk
        .map(voter -> removal(Cause.REPLACED_AT_ITS_VM, voter))
        .or(this::replacedRemoval)
        .or(() -> silentRemoval(timing.replacementSilenceNanos()));
  }

  private boolean allVotersAnswer() {
    return current.others(self).filter(Member::voter).allMatch(this::isAnswering);
  }

  /** Returns a removal that no learner waits for. */
  private Optional<MembershipChange> reduction() {
    return replacedRemoval().or(this::surplusRemoval).or(this::learnerRemoval);
  }

  private Optional<MembershipChange> replacedRemoval() {
    return removableVoters()
        .filter(this::isReplaced)
        .findFirst()
        .map(voter -> removal(Cause.REPLACED_AT_ITS_VM, voter));
  }

  /**
   * Removes a silent voter from an even number of voters, which tolerates no more failures than one
   * voter fewer. A voter that was only restarting joins again.
   */
  private Optional<MembershipChange> surplusRemoval() {
    if (!isEven() || current.voterCount() < MIN_VOTERS_TO_REDUCE) {
      return Optional.empty();
    }
    return silentRemoval(isSurplus() ? timing.replacementSilenceNanos() : REDUCTION_SILENCE_NANOS);
  }

  /** Returns whether as many voters as wanted answer without the silent ones. */
  private boolean isSurplus() {
    long answering =
        1 + current.others(self).filter(Member::voter).filter(this::isAnswering).count();
    return current.voterCount() > current.targetVoters() && answering >= current.targetVoters();
  }

  private Optional<MembershipChange> silentRemoval(long minSilenceNanos) {
    return removableVoters()
        .filter(voter -> contact(voter).silentNanos() > minSilenceNanos)
        .max(Comparator.comparingLong(voter -> contact(voter).silentNanos()))
        .map(voter -> removal(Cause.SILENT, voter));
  }

  private Optional<MembershipChange> learnerRemoval() {
    return current.members().stream()
        .filter(member -> !member.voter())
        .filter(member -> contact(member).silentNanos() > LEARNER_SILENCE_NANOS)
        .findFirst()
        .map(learner -> removal(Cause.SILENT, learner));
  }

  private Stream<Member> removableVoters() {
    return current.others(self).filter(Member::voter);
  }

  private boolean isEven() {
    return current.voterCount() % 2 == 0;
  }

  private boolean isNewest(Member member) {
    return current.newestOf(member.vm()).filter(member::equals).isPresent();
  }

  private boolean isReplaced(Member member) {
    return current
        .newestOf(member.vm())
        .filter(newest -> newest.voter() && !newest.equals(member))
        .isPresent();
  }

  private boolean isAnswering(Member member) {
    return contact(member).isAnswering(timing);
  }

  private MemberContact contact(Member member) {
    return contacts.apply(member);
  }

  private MembershipChange promotion(Member learner) {
    return new MembershipChange(Cause.CAUGHT_UP, learner, current.promote(learner.disk()));
  }

  private MembershipChange removal(Cause cause, Member removed) {
    return new MembershipChange(cause, removed, current.without(removed::equals));
  }
}
