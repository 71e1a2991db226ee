package org.endivemux.consensus;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.endivemux.consensus.Message.Append;
import org.endivemux.consensus.Message.AppendReply;
import org.endivemux.consensus.Message.Form;
import org.endivemux.consensus.Message.InstallSnapshot;
import org.endivemux.consensus.Message.Join;
import org.endivemux.consensus.Message.Probe;
import org.endivemux.consensus.Message.ProbeReply;
import org.endivemux.consensus.Message.VoteReply;
import org.endivemux.consensus.Message.VoteRequest;
import org.endivemux.model.Bytes;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/**
 * Implements a Raft-style consensus protocol for one member of the replicated log.
 *
 * <p>Deterministic: it uses no clock, socket, file, thread or random source. Steps take the
 * monotonic time in nanoseconds where they need it and return {@link Effects}, so the same sequence
 * of inputs always gives the same decisions. Invariants: each term has at most one leader; a
 * committed entry is never lost or changed; no two members hold a lease at the same time while
 * clock drift stays within the bound of {@link Timing}. Not thread-safe: one driver calls it.
 */
public final class ConsensusCore {
  private final CoreState state;
  private final Elections elections;
  private final FollowerReplication followerReplication;
  private final Replication replication;
  private final Formation formation;
  private final MembershipChanges changes;

  public ConsensusCore(
      VmId self, BootstrapConfig bootstrap, Recovered recovered, Timing timing, long now) {
    this.state = new CoreState(self, bootstrap, recovered, timing, now);
    this.elections = new Elections(state);
    this.followerReplication = new FollowerReplication(state);
    this.replication = new Replication(state);
    this.formation = new Formation(state);
    this.changes = new MembershipChanges(state, replication);
  }

  /** Runs timers; must be called at least once every quarter of a heartbeat interval. */
  public Effects tick(long now) {
    return step(
        () -> {
          switch (state.role) {
            case UNFORMED -> formation.tick(now);
            case LEADER -> leaderTick(now);
            default -> {
              elections.tick(now);
              formation.rejoinTick(now);
            }
          }
          startIfElected(now);
        });
  }

  private void leaderTick(long now) {
    replication.tick(now);
    if (state.leads()) {
      changes.advance(now);
    }
  }

  private void startIfElected(long now) {
    if (elections.isElected()) {
      lead(now);
    }
  }

  private void lead(long now) {
    replication.start(now);
    changes.start();
  }

  /** Handles a message; ignores one that is addressed to another VM or disk id. */
  public Effects receive(Envelope envelope, long now) {
    boolean forThisDisk = envelope.toDisk().map(state.disk::equals).orElse(true);
    return step(
        () -> {
          if (forThisDisk && envelope.to().equals(state.self)) {
            dispatch(envelope, now);
          }
        });
  }

  private void dispatch(Envelope envelope, long now) {
    Message message = envelope.message();
    on(message, VoteRequest.class, request -> elections.onVoteRequest(envelope, request, now));
    on(message, VoteReply.class, reply -> onVoteReply(envelope, reply, now));
    on(message, Append.class, append -> followerReplication.onAppend(envelope, append, now));
    on(message, AppendReply.class, reply -> onAppendReply(envelope, reply, now));
    on(
        message,
        InstallSnapshot.class,
        install -> followerReplication.onSnapshot(envelope, install, now));
    on(message, Probe.class, probe -> formation.onProbe(envelope));
    on(message, ProbeReply.class, reply -> formation.onProbeReply(envelope, reply, now));
    on(message, Form.class, formation::onForm);
    on(message, Join.class, join -> changes.onJoin(envelope));
  }

  private static <T extends Message> void on(Message message, Class<T> type, Consumer<T> action) {
    Optional.of(message).filter(type::isInstance).map(type::cast).ifPresent(action);
  }

  private void onVoteReply(Envelope envelope, VoteReply reply, long now) {
    if (elections.onVoteReply(envelope, reply, now)) {
      lead(now);
    }
  }

  private void onAppendReply(Envelope envelope, AppendReply reply, long now) {
    replication.onReply(envelope, reply, now);
    changes.advance(now);
  }

  /**
   * Appends commands if this member is the leader.
   *
   * @return the effects and the position of the first command; no position if not the leader
   */
  public Proposal propose(List<Bytes> commands, long now) {
    if (!state.leads()) {
      return new Proposal(Optional.empty(), step(() -> {}));
    }
    long first = state.log.lastIndex() + 1;
    long term = state.term;
    List<LogEntry> entries =
        IntStream.range(0, commands.size())
            .mapToObj(i -> LogEntry.ofCommand(first + i, term, commands.get(i)))
            .toList();
    Effects effects = step(() -> replication.append(entries, now));
    return new Proposal(Optional.of(new Position(first, term)), effects);
  }

  /** Records that all steps up to one are synced; see {@link Effects#step}. */
  public Effects persisted(long step) {
    return step(
        () -> {
          state.synced(step);
          replication.advanceCommit();
          followerReplication.acknowledge();
        });
  }

  /** Replaces the log up to an applied index with a snapshot of the replicated state. */
  public Effects compact(long index, Bytes replicatedState) {
    return step(
        () ->
            state
                .log
                .termAt(index)
                .filter(term -> index <= state.applied && index > state.log.snapshot().index())
                .map(term -> snapshotAt(index, term, replicatedState))
                .ifPresent(this::compactTo));
  }

  private Snapshot snapshotAt(long index, long term, Bytes replicatedState) {
    return new Snapshot(index, term, state.log.membershipAt(index), replicatedState);
  }

  private void compactTo(Snapshot snapshot) {
    state.log.compact(snapshot);
    state.effects.save(snapshot);
  }

  /** Gives up leadership; the driver calls this when it can no longer trust its clock. */
  public Effects stepDown() {
    return step(
        () -> {
          if (state.leads()) {
            replication.stepDown();
          }
        });
  }

  private Effects step(Runnable action) {
    state.beginStep();
    action.run();
    state.endStep();
    return state.effects;
  }

  /** Returns the status of this member at a time. */
  public Status status(long now) {
    long leaseUntil = replication.isReady() ? replication.leaseUntil(now) : Long.MIN_VALUE;
    return new Status(
        state.role,
        state.term,
        state.leader,
        leaseUntil,
        state.commit,
        state.log.lastIndex(),
        state.log.lastTerm(),
        state.log.membership());
  }

  /** Returns the disk id under which this member votes. */
  public DiskId disk() {
    return state.disk;
  }

  /** Identifies an entry of the log. Immutable and thread-safe. */
  public record Position(long index, long term) {}

  /** Holds the position of the first proposed command and the effects. Not thread-safe. */
  public record Proposal(Optional<Position> first, Effects effects) {}

  /**
   * Describes one member. Immutable and thread-safe.
   *
   * @param leaseUntil time on the driver's clock until which this member may decide as leader; in
   *     the past if it is not the leader or not ready
   */
  public record Status(
      Role role,
      long term,
      Optional<VmId> leader,
      long leaseUntil,
      long commit,
      long lastIndex,
      long lastTerm,
      Membership membership) {
    /** Returns whether this member may decide as leader at a time. */
    public boolean holdsLease(long now) {
      return role == Role.LEADER && now < leaseUntil;
    }
  }
}
