package org.endivemux.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;
import org.endivemux.statechart.StateChart;

/**
 * Holds the state shared by the parts of one {@link ConsensusCore}.
 *
 * <p>Invariants: {@code applied <= commit <= log.lastIndex()}; {@code durable} never covers an
 * entry that was truncated; the term never decreases. Confined to the core's thread.
 */
final class CoreState {
  private static final StateChart<Role, RoleEvent> CHART =
      StateChart.load("member.yaml", Role.class, RoleEvent.class);

  final VmId self;
  final DiskId disk;
  final BootstrapConfig bootstrap;
  final Timing timing;
  final ReplicatedLog log;
  final long startedAt;

  long term;
  Optional<DiskId> vote;
  Role role;
  Optional<VmId> leader = Optional.empty();
  long commit;
  long applied;
  long durable;
  Effects effects = new Effects(0);

  /** When a leader was last heard from; empty until the first message since the start. */
  Optional<Long> heardLeaderAt = Optional.empty();

  long electionDeadline;
  private long electionTimeoutsDrawn;
  private long steps;

  /** Steps whose state is not synced yet, in order. */
  private final Deque<UnsyncedStep> unsynced = new ArrayDeque<>();

  CoreState(VmId self, BootstrapConfig bootstrap, Recovered recovered, Timing timing, long now) {
    this.self = self;
    this.disk = recovered.disk();
    this.bootstrap = bootstrap;
    this.timing = timing;
    this.log = new ReplicatedLog(recovered.snapshot(), recovered.entries());
    this.startedAt = now;
    this.term = recovered.hardState().term();
    this.vote = recovered.hardState().vote();
    this.commit = recovered.snapshot().index();
    this.applied = commit;
    this.durable = log.lastIndex();
    this.role = CHART.initial();
    if (log.lastIndex() > 0) {
      startAsMember();
    }
    deferElection(now);
  }

  private void startAsMember() {
    fire(log.membership().hasVoter(disk) ? RoleEvent.FORMED : RoleEvent.LEADER_HEARD);
  }

  void fire(RoleEvent event) {
    role = CHART.require(role, event);
  }

  boolean leads() {
    return role == Role.LEADER;
  }

  void deferElection(long now) {
    long seed = disk.hashCode() * 31L + term * 7919L + electionTimeoutsDrawn++;
    electionDeadline = now + timing.electionTimeout(seed);
  }

  /** Returns whether a leader may still hold a lease, so that votes must be refused. */
  boolean mayHaveLeader(long now) {
    boolean justStarted = now - startedAt < timing.voteRefusalNanos();
    boolean justHeard =
        heardLeaderAt.filter(at -> now - at < timing.voteRefusalNanos()).isPresent();
    return leads() || justStarted || justHeard;
  }

  void saveHardState() {
    effects.save(new HardState(term, vote));
  }

  /** Adopts a higher term and clears the vote; a leader or candidate becomes a follower. */
  void adoptTerm(long newTerm) {
    if (newTerm <= term) {
      return;
    }
    term = newTerm;
    vote = Optional.empty();
    saveHardState();
    leader = Optional.empty();
    if (role != Role.UNFORMED) {
      fire(RoleEvent.HIGHER_TERM);
    }
  }

  Envelope envelope(Member to, Message message) {
    return new Envelope(self, disk, to.vm(), Optional.of(to.disk()), message);
  }

  void send(Member to, Message message) {
    effects.send(envelope(to, message));
  }

  void reply(Envelope request, Message message) {
    effects.send(replyTo(request, message));
  }

  Envelope replyTo(Envelope request, Message message) {
    return new Envelope(self, disk, request.from(), Optional.of(request.fromDisk()), message);
  }

  /** Switches between learner and follower to match the latest membership in the log. */
  void reconcileRole() {
    boolean voter = log.membership().hasVoter(disk);
    if (role == Role.LEARNER && voter) {
      fire(RoleEvent.PROMOTED);
    } else if (isNonLeadingVoter() && !voter) {
      fire(RoleEvent.DEMOTED);
    }
  }

  private boolean isNonLeadingVoter() {
    return role == Role.FOLLOWER || role == Role.PRE_CANDIDATE || role == Role.CANDIDATE;
  }

  void beginStep() {
    effects = new Effects(++steps);
  }

  void endStep() {
    if (effects.needsPersist()) {
      unsynced.add(new UnsyncedStep(effects.step(), log.lastIndex()));
    }
  }

  /** Records that the driver has synced all steps up to one. */
  void synced(long step) {
    while (!unsynced.isEmpty() && unsynced.peek().number <= step) {
      durable = Math.max(durable, unsynced.poll().lastIndex);
    }
  }

  void resetLog(Snapshot installed) {
    replaceFrom(installed.index());
    log.reset(installed);
  }

  /** Counts nothing from an index on as synced, even once an earlier step is. */
  private void replaceFrom(long index) {
    durable = Math.min(durable, index - 1);
    unsynced.forEach(step -> step.lastIndex = Math.min(step.lastIndex, index - 1));
  }

  void appendToLog(LogEntry entry) {
    if (entry.index() <= log.lastIndex()) {
      replaceFrom(entry.index());
    }
    log.append(entry);
    effects.append(entry);
  }

  void commitTo(long index) {
    commit = Math.max(commit, Math.min(index, log.lastIndex()));
    if (commit > applied) {
      effects.commit(log.range(applied + 1, commit));
      applied = commit;
    }
  }

  /** A step to be synced, and the last index of the log that is synced with it. */
  private static final class UnsyncedStep {
    private final long number;
    private long lastIndex;

    UnsyncedStep(long number, long lastIndex) {
      this.number = number;
      this.lastIndex = lastIndex;
    }
  }
}
