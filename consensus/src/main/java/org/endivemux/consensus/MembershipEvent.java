package org.endivemux.consensus;

import java.util.List;
import org.endivemux.model.VmId;

/**
 * Reports what a leader decides about the membership, for the driver's log. All kinds are immutable
 * and thread-safe.
 */
public sealed interface MembershipEvent {
  /** A disk that is no member asks the leader to join; reported once for each disk and leader. */
  record JoinRequested(Member member) implements MembershipEvent {}

  /**
   * The leader appended a change to its log; it is in force there, but not committed yet.
   *
   * @param index index of the log entry that holds the change
   * @param silences how long each voter but the leader has not answered it
   */
  record Proposed(long index, long term, MembershipChange change, List<Silence> silences)
      implements MembershipEvent {
    public Proposed {
      silences = List.copyOf(silences);
    }
  }

  /**
   * A learner has caught up, but gets no vote yet, since a voter neither answers nor has been
   * silent for long; reported once for each learner.
   */
  record PromotionDeferred(Member learner, List<Silence> silences) implements MembershipEvent {
    public PromotionDeferred {
      silences = List.copyOf(silences);
    }
  }

  /** Holds how long a voter has not answered the leader. Immutable and thread-safe. */
  record Silence(VmId vm, long nanos) {}
}
