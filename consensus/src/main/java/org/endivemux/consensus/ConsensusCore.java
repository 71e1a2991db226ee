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
 * Decides for one member of the replicated log.
 *
 * <p>Pure: it has no clock, socket, file, thread or random source; each step gets the monotonic
 * time in nanoseconds and returns {@link Effects}, so that one history of inputs gives one history
 * of decisions. Invariants: one leader a term; a committed entry is never lost or changed; no two
 * members hold a lease at one instant while clocks keep the drift bound of {@link Timing}. Not
 * thread-safe: one driver calls it.
 */
public final class ConsensusCore {
  private final CoreState state;
  private final Elections elections;
  private final Following following;
  private final Replication replication;
  private final Formation formation;
  private final MembershipChanges changes;

  public ConsensusCore(
      VmId self, BootstrapConfig founding, Recovered recovered, Timing timing, long now) {
    this.state = new CoreState(self, founding, recovered, timing, now);
    this.elections = new Elections(state);
    this.following = new Following(state);
    this.replication = new Replication(state);
    this.formation = new Formation(state);
    this.changes = new MembershipChanges(state, replication);
  }

  /** Handles the passing of time; wants a call at least every quarter of a heartbeat. */
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
          startWhenWonAlone(now);
        });
  }

  private void leaderTick(long now) {
    replication.tick(now);
    if (state.leads()) {
      changes.advance(now);
    }
  }

  private void startWhenWonAlone(long now) {
    if (elections.wonAlone()) {
      replication.start(now);
    }
  }

  /** Handles a message; one for another life of the data folder is ignored. */
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
    on(message, VoteRequest.class, it -> elections.onVoteRequest(envelope, it, now));
    on(message, VoteReply.class, it -> onVoteReply(envelope, it, now));
    on(message, Append.class, it -> following.onAppend(envelope, it, now));
    on(message, AppendReply.class, it -> onAppendReply(envelope, it, now));
    on(message, InstallSnapshot.class, it -> following.onSnapshot(envelope, it, now));
    on(message, Probe.class, it -> formation.onProbe(envelope));
    on(message, ProbeReply.class, it -> formation.onProbeReply(envelope, it, now));
    on(message, Form.class, formation::onForm);
    on(message, Join.class, it -> changes.onJoin(envelope));
  }

  private static <T extends Message> void on(Message message, Class<T> type, Consumer<T> action) {
    Optional.of(message).filter(type::isInstance).map(type::cast).ifPresent(action);
  }

  private void onVoteReply(Envelope envelope, VoteReply reply, long now) {
    if (elections.onVoteReply(envelope, reply, now)) {
      replication.start(now);
    }
  }

  private void onAppendReply(Envelope envelope, AppendReply reply, long now) {
    replication.onReply(envelope, reply, now);
    changes.advance(now);
  }

  /**
   * Appends commands when this member leads.
   *
   * @return the position of the first command, or empty when this member does not lead
   */
  public Proposal propose(List<Bytes> commands, long now) {
    if (!state.leads()) {
      return new Proposal(Optional.empty(), new Effects());
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

  /** Handles that everything up to an entry is synced. */
  public Effects persisted(long term, long index) {
    return step(
        () -> {
          if (state.log.termAt(index).filter(known -> known == term).isPresent()) {
            state.durable = Math.max(state.durable, index);
            replication.advanceCommit();
            following.acknowledge();
          }
        });
  }

  /** Replaces the log up to an applied index by a snapshot of the replicated state. */
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

  /** Gives up the lead, for a driver whose clock can not be trusted any more. */
  public Effects stepDown() {
    return step(
        () -> {
          if (state.leads()) {
            replication.stepDown();
          }
        });
  }

  private Effects step(Runnable action) {
    state.effects = new Effects();
    action.run();
    return state.effects;
  }

  /** Returns what others may know of this member at an instant. */
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

  /** Holds the place of an entry in the log. Immutable and thread-safe. */
  public record Position(long index, long term) {}

  /** Holds the place of the first proposed command and the effects. Not thread-safe. */
  public record Proposal(Optional<Position> first, Effects effects) {}

  /**
   * Holds a view of one member. Immutable and thread-safe.
   *
   * @param leaseUntil instant of the driver's clock until which decisions may be taken; the past
   *     when this member does not lead or is not ready
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
    /** Returns whether a leader's decision may be taken at an instant. */
    public boolean holdsLease(long now) {
      return role == Role.LEADER && now < leaseUntil;
    }
  }
}
