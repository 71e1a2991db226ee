package org.endivemux.control.voter;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.stream.Collectors;
import org.endivemux.consensus.LogEntry;
import org.endivemux.consensus.Member;
import org.endivemux.consensus.Membership;
import org.endivemux.consensus.MembershipEvent;
import org.endivemux.consensus.MembershipEvent.JoinRequested;
import org.endivemux.consensus.MembershipEvent.PromotionDeferred;
import org.endivemux.consensus.MembershipEvent.Proposed;
import org.endivemux.consensus.MembershipEvent.Silence;
import org.endivemux.model.VmId;

/**
 * Logs each change of the membership: who asked to join, what the leader proposed and why, and what
 * was committed.
 *
 * <p>Invariant: the number of lines grows with the number of changes only. Immutable and
 * thread-safe.
 */
final class MembershipLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final VmId self;

  MembershipLog(VmId self) {
    this.self = self;
  }

  /** Logs what this VM decided as the leader. */
  void log(MembershipEvent event) {
    if (event instanceof JoinRequested joined) {
      logger.atInfo().log("event=join_requested %s", describe(joined.member()));
    } else if (event instanceof Proposed proposed) {
      log(proposed);
    } else if (event instanceof PromotionDeferred deferred) {
      logger.atInfo().log(
          "event=promotion_deferred %s silentMillis=%s",
          describe(deferred.learner()), describe(deferred.silences()));
    }
  }

  private void log(Proposed proposed) {
    logger.atInfo().log(
        "event=membership_proposed leader=%s term=%d index=%d cause=%s %s %s silentMillis=%s",
        self.value(),
        proposed.term(),
        proposed.index(),
        proposed.change().cause(),
        describe(proposed.change().member()),
        describe(proposed.change().result()),
        describe(proposed.silences()));
  }

  /** Logs a committed entry if it holds a membership. */
  void committed(LogEntry entry) {
    entry
        .membership()
        .ifPresent(
            membership ->
                logger.atInfo().log(
                    "event=membership_committed term=%d index=%d %s",
                    entry.term(), entry.index(), describe(membership)));
  }

  private static String describe(Member member) {
    return "vm=" + member.vm().value() + " disk=" + member.disk().value();
  }

  private static String describe(Membership membership) {
    return "voters=%s learners=%s targetVoters=%d"
        .formatted(vms(membership, true), vms(membership, false), membership.targetVoters());
  }

  private static String vms(Membership membership, boolean voters) {
    return membership.members().stream()
        .filter(member -> member.voter() == voters)
        .map(member -> member.vm().value())
        .collect(Collectors.joining(","));
  }

  private static String describe(List<Silence> silences) {
    return silences.stream()
        .map(silence -> silence.vm().value() + ":" + NANOSECONDS.toMillis(silence.nanos()))
        .collect(Collectors.joining(","));
  }
}
