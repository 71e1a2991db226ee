package org.endivemux.routing.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.endivemux.model.OrganisationId;

/**
 * Gives each waiting job its turn among the organisations of one service, by start-time fair
 * queueing.
 *
 * <p>Answers the load of one organisation that sends many times its usual amount: its jobs get
 * later and later turns, those of the others do not. An organisation's turns advance by the work of
 * its jobs, the tokens that they may make an engine handle. Invariants: the virtual time is the
 * latest turn that was served and never decreases; an organisation is charged for what was started
 * or waits; one that has waited for nothing has its next turn now, so that unused shares are lent
 * and earn no credit. Not thread-safe.
 */
final class OrganisationTurns {
  /** A request without a prompt takes a slot as well. */
  private static final int MIN_WORK_TOKENS = 1;

  /** Requests without an organisation share the turns of one. */
  private final Map<Optional<OrganisationId>, Double> nextTurns = new HashMap<>();

  private double virtualTime;

  /** Returns the turn of a job that begins to wait; a repeated attempt has one at once. */
  double next(FleetJob job) {
    if (!job.avoid().isEmpty()) {
      return virtualTime;
    }
    double turn = Math.max(virtualTime, nextTurns.getOrDefault(job.organisation(), 0.0));
    nextTurns.put(job.organisation(), turn + work(job));
    return turn;
  }

  /** Takes back what a job that {@link #next} has charged would have used; it was not started. */
  void cancelled(FleetJob job) {
    if (job.avoid().isEmpty()) {
      nextTurns.computeIfPresent(job.organisation(), (organisation, next) -> next - work(job));
    }
  }

  private static double work(FleetJob job) {
    return Math.max(MIN_WORK_TOKENS, (long) job.prompt().tokens() + job.prompt().maxAnswerTokens());
  }

  /** Records that a job with this turn was started. */
  void served(double turn) {
    if (turn > virtualTime) {
      virtualTime = turn;
      nextTurns.values().removeIf(next -> next <= virtualTime);
    }
  }
}
