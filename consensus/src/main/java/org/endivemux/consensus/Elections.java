package org.endivemux.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.endivemux.consensus.Message.VoteReply;
import org.endivemux.consensus.Message.VoteRequest;
import org.endivemux.model.DiskId;

/**
 * Runs pre-votes and votes.
 *
 * <p>Invariants: at most one vote per term, synced before it is sent; no vote is granted while a
 * leader may hold a lease; votes belong to disk ids, not to VMs; a member that waits for its disk
 * answers no pre-vote either, so that no candidate enters a term for which it cannot get the vote.
 * Confined to the core's thread.
 */
final class Elections {
  private final CoreState state;
  private final Set<DiskId> granted = new HashSet<>();

  Elections(CoreState state) {
    this.state = state;
  }

  /** Starts a pre-vote when the election timeout has expired. */
  void tick(long now) {
    boolean mayCampaign =
        state.role == Role.FOLLOWER
            || state.role == Role.PRE_CANDIDATE
            || state.role == Role.CANDIDATE;
    if (mayCampaign && now >= state.electionDeadline) {
      startPreVote(now);
    }
  }

  private void startPreVote(long now) {
    state.fire(RoleEvent.ELECTION_TIMEOUT);
    state.leader = Optional.empty();
    state.deferElection(now);
    resetVotes();
    requestVotes(true, state.term + 1);
    countPreVotes(now);
  }

  private void startVote(long now) {
    state.fire(RoleEvent.PRE_VOTES_WON);
    state.term++;
    state.vote = Optional.of(state.disk);
    state.saveHardState();
    state.deferElection(now);
    resetVotes();
    requestVotes(false, state.term);
  }

  private void resetVotes() {
    granted.clear();
    granted.add(state.disk);
  }

  private void requestVotes(boolean pre, long term) {
    VoteRequest request = new VoteRequest(term, pre, state.log.lastIndex(), state.log.lastTerm());
    state
        .log
        .membership()
        .others(state.disk)
        .filter(Member::voter)
        .map(member -> state.envelope(member, request))
        .forEach(state.effects::sendAfterPersist);
  }

  void onVoteRequest(Envelope envelope, VoteRequest request, long now) {
    if (state.role == Role.UNFORMED || state.mayHaveLeader(now)) {
      state.reply(envelope, new VoteReply(state.term, request.pre(), false));
      return;
    }
    if (request.pre()) {
      boolean grant = request.term() > state.term && isUpToDate(request);
      long term = grant ? request.term() : state.term;
      state.effects.sendAfterPersist(state.replyTo(envelope, new VoteReply(term, true, grant)));
      return;
    }
    state.adoptTerm(request.term());
    boolean grant =
        request.term() == state.term
            && isUpToDate(request)
            && state.vote.map(envelope.fromDisk()::equals).orElse(true);
    if (grant) {
      state.vote = Optional.of(envelope.fromDisk());
      state.saveHardState();
      state.deferElection(now);
    }
    state.effects.sendAfterPersist(
        state.replyTo(envelope, new VoteReply(state.term, false, grant)));
  }

  private boolean isUpToDate(VoteRequest request) {
    long lastTerm = state.log.lastTerm();
    return request.lastTerm() > lastTerm
        || (request.lastTerm() == lastTerm && request.lastIndex() >= state.log.lastIndex());
  }

  /** Handles a reply and returns whether this member has won the election. */
  boolean onVoteReply(Envelope envelope, VoteReply reply, long now) {
    if (!reply.granted()) {
      state.adoptTerm(reply.term());
      return false;
    }
    if (reply.pre()) {
      if (state.role == Role.PRE_CANDIDATE && reply.term() == state.term + 1) {
        granted.add(envelope.fromDisk());
        countPreVotes(now);
      }
      return isElected();
    }
    if (state.role != Role.CANDIDATE || reply.term() != state.term) {
      return false;
    }
    granted.add(envelope.fromDisk());
    return hasQuorum();
  }

  private void countPreVotes(long now) {
    if (hasQuorum()) {
      startVote(now);
    }
  }

  /**
   * Returns whether the votes so far elect this candidate. A sole voter is elected by its own vote,
   * without any reply.
   */
  boolean isElected() {
    return state.role == Role.CANDIDATE && hasQuorum();
  }

  private boolean hasQuorum() {
    return state.log.membership().isQuorum(granted);
  }
}
