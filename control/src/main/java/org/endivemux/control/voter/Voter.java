package org.endivemux.control.voter;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;
import org.endivemux.consensus.BootstrapConfig;
import org.endivemux.consensus.ConsensusCore;
import org.endivemux.consensus.ConsensusCore.Position;
import org.endivemux.consensus.ConsensusCore.Proposal;
import org.endivemux.consensus.ConsensusCore.Status;
import org.endivemux.consensus.Effects;
import org.endivemux.consensus.Envelope;
import org.endivemux.consensus.LogEntry;
import org.endivemux.consensus.Recovered;
import org.endivemux.consensus.Role;
import org.endivemux.consensus.Snapshot;
import org.endivemux.consensus.Timing;
import org.endivemux.control.ControlException;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.state.VersionNote;
import org.endivemux.model.Bytes;
import org.endivemux.model.VmId;
import org.endivemux.storage.DataFolder;
import org.endivemux.storage.StorageException;
import org.endivemux.wire.MessagePackCodec;
import org.endivemux.wire.WireException;

/**
 * Runs one member of the replicated log and the state machine that the log drives.
 *
 * <p>Invariants: a single thread accesses the core and the state, and another one syncs; a command
 * is answered only after it was committed and applied. Thread-safe.
 */
public final class Voter implements ReplicatedState, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 20;
  private static final int COMPACTION_ENTRIES = 4000;
  private static final long COMPACTION_BYTES = 16L << 20;
  private static final int MAX_GROUP_SIZE = 1000;

  private final ConsensusCore core;
  private final Clocks clocks;
  private final SuspensionGuard guard;
  private final Consumer<Envelope> sender;
  private final DiskWriter disk;
  private final Consumer<Throwable> fatal;
  private final MembershipLog membershipLog;
  private final ControlState state = new ControlState();
  private final BlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final List<Submission> submissions = new ArrayList<>();
  private final Map<Long, Pending> pending = new TreeMap<>();
  private final List<Runnable> viewListeners = new ArrayList<>();
  private final Thread coreThread;
  private final Thread diskThread;
  private volatile Status status;
  private volatile boolean clockDistrusted;
  private volatile long publishedRevision;
  private long appliedIndex;
  private long compactedIndex;
  private long bytesSinceCompaction;
  private Role loggedRole = Role.UNFORMED;

  public Voter(
      VmId self,
      BootstrapConfig founding,
      DataFolder folder,
      Timing timing,
      Clocks clocks,
      Consumer<Envelope> sender,
      Consumer<Throwable> fatal,
      MetricRegistry metrics) {
    Recovered recovered = folder.recovered();
    this.clocks = clocks;
    this.guard = clocks.guard();
    this.sender = sender;
    this.fatal = fatal;
    this.membershipLog = new MembershipLog(self);
    this.core = new ConsensusCore(self, founding, recovered, timing, clocks.nanos());
    this.disk =
        new DiskWriter(
            folder, sender, step -> enqueue(() -> handle(core.persisted(step))), fatal, metrics);
    restore(recovered.snapshot());
    this.status = core.status(clocks.nanos());
    this.coreThread = new Thread(this::run, "control-core");
    this.diskThread = new Thread(disk, "control-disk");
    metrics.register("control.term", (Gauge<Long>) () -> status.term());
    metrics.register("control.commit", (Gauge<Long>) () -> status.commit());
    metrics.register("control.leads", (Gauge<Integer>) () -> holdsLease() ? 1 : 0);
  }

  /** Throws {@link StorageException} if this build cannot read the snapshot. */
  private void restore(Snapshot snapshot) {
    try {
      state.restore(snapshot.state());
    } catch (WireException e) {
      Throwable root =
          Stream.<Throwable>iterate(e, Objects::nonNull, Throwable::getCause)
              .reduce(e, (outer, cause) -> cause);
      throw new StorageException("The snapshot cannot be read: " + root.getMessage(), e);
    }
    appliedIndex = snapshot.index();
    compactedIndex = snapshot.index();
  }

  /** Starts the threads. */
  public Voter start() {
    coreThread.start();
    diskThread.start();
    return this;
  }

  /** Queues a message from another member for processing. */
  public void receive(Envelope envelope) {
    enqueue(() -> handle(core.receive(envelope, clocks.nanos())));
  }

  @Override
  public CompletableFuture<CommandResult> submit(Command command) {
    return submit(new Command.Stamped(clocks.millis(), command));
  }

  @Override
  public CompletableFuture<CommandResult> submit(VersionNote note) {
    return submit(new Command.Stamped(clocks.millis(), Command.noChange(), Optional.of(note)));
  }

  private CompletableFuture<CommandResult> submit(Command.Stamped stamped) {
    CompletableFuture<CommandResult> answer = new CompletableFuture<>();
    byte[] bytes = MessagePackCodec.encode(stamped);
    enqueue(() -> submissions.add(new Submission(Bytes.of(bytes), answer)));
    return answer;
  }

  /** Runs a query on the state machine's thread. */
  @Override
  public <T> CompletableFuture<T> read(Function<ControlState, T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    enqueue(() -> complete(result, query));
    return result;
  }

  private <T> void complete(CompletableFuture<T> result, Function<ControlState, T> query) {
    try {
      result.complete(query.apply(state));
    } catch (RuntimeException e) {
      result.completeExceptionally(e);
    }
  }

  /** Adds a listener that the state machine's thread calls. */
  @Override
  public void onViewChanged(Runnable listener) {
    enqueue(() -> viewListeners.add(listener));
  }

  @Override
  public Status status() {
    return status;
  }

  @Override
  public long publishedRevision() {
    return publishedRevision;
  }

  @Override
  public boolean holdsLease() {
    if (guard.ranAhead()) {
      distrustClock();
    }
    return !clockDistrusted && status.holdsLease(clocks.nanos());
  }

  private void distrustClock() {
    clockDistrusted = true;
    logger.atWarning().log("event=clock_distrusted");
    enqueue(
        () -> {
          handle(core.stepDown());
          clockDistrusted = false;
        });
  }

  private void enqueue(Runnable input) {
    inbox.add(input);
  }

  private void run() {
    long nextTick = clocks.nanos();
    try {
      while (!Thread.currentThread().isInterrupted()) {
        long wait = Math.max(0, nextTick - clocks.nanos());
        Runnable first = inbox.poll(wait, TimeUnit.NANOSECONDS);
        if (first != null) {
          runGroup(first);
        }
        if (clocks.nanos() - nextTick >= 0) {
          tick();
          nextTick = clocks.nanos() + Duration.ofMillis(TICK_MILLIS).toNanos();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      fatal.accept(e);
    }
  }

  private void runGroup(Runnable first) {
    List<Runnable> group = new ArrayList<>();
    group.add(first);
    inbox.drainTo(group, MAX_GROUP_SIZE);
    group.forEach(Runnable::run);
    proposeSubmissions();
  }

  private void tick() {
    if (guard.ranAhead()) {
      distrustClock();
    }
    handle(core.tick(clocks.nanos()));
    compactWhenLong();
  }

  private void proposeSubmissions() {
    if (submissions.isEmpty()) {
      return;
    }
    List<Submission> group = List.copyOf(submissions);
    submissions.clear();
    List<Bytes> commands = group.stream().map(Submission::command).toList();
    Proposal proposal = core.propose(commands, clocks.nanos());
    if (proposal.first().isEmpty()) {
      group.forEach(
          item ->
              item.answer()
                  .completeExceptionally(new ControlException("This VM is not the leader.")));
      return;
    }
    Position position = proposal.first().get();
    for (int i = 0; i < group.size(); i++) {
      pending.put(position.index() + i, new Pending(position.term(), group.get(i).answer()));
    }
    handle(proposal.effects());
  }

  private void handle(Effects effects) {
    effects.messages().forEach(sender);
    effects.membershipEvents().forEach(membershipLog::log);
    if (effects.persist().isPresent() || !effects.afterPersist().isEmpty()) {
      disk.write(effects);
    }
    long revision = state.view().revision();
    effects.installed().ifPresent(this::install);
    effects.committed().forEach(this::apply);
    publishedRevision = state.view().revision();
    publishStatus();
    if (state.view().revision() != revision) {
      viewListeners.forEach(Runnable::run);
    }
  }

  private void publishStatus() {
    status = core.status(clocks.nanos());
    if (status.role() != loggedRole) {
      loggedRole = status.role();
      logger.atInfo().log(
          "event=control_role role=%s term=%d commit=%d",
          status.role(), status.term(), status.commit());
    }
  }

  private void install(Snapshot snapshot) {
    restore(snapshot);
    pending.values().forEach(waiting -> waiting.fail("An installed snapshot contains its result."));
    pending.clear();
  }

  private void apply(LogEntry entry) {
    appliedIndex = entry.index();
    bytesSinceCompaction += entry.command().size();
    membershipLog.committed(entry);
    Pending waiting = pending.remove(entry.index());
    if (!entry.hasCommand()) {
      if (waiting != null) {
        waiting.fail("Another log entry was committed in its place.");
      }
      return;
    }
    byte[] bytes = entry.command().toArray();
    CommandResult answer =
        state.apply(entry.index(), MessagePackCodec.decode(bytes, Command.Stamped.class));
    if (waiting != null) {
      waiting.finish(entry.term(), answer);
    }
  }

  private void compactWhenLong() {
    boolean isLong = appliedIndex - compactedIndex > COMPACTION_ENTRIES;
    if (isLong || bytesSinceCompaction > COMPACTION_BYTES) {
      compactedIndex = appliedIndex;
      bytesSinceCompaction = 0;
      handle(core.compact(appliedIndex, state.save()));
      logger.atInfo().log("event=compacted index=%d", appliedIndex);
    }
  }

  @Override
  public void close() {
    coreThread.interrupt();
    diskThread.interrupt();
  }

  private record Submission(Bytes command, CompletableFuture<CommandResult> answer) {}

  private record Pending(long term, CompletableFuture<CommandResult> answer) {
    void finish(long committedTerm, CommandResult result) {
      if (committedTerm == term) {
        answer.complete(result);
      } else {
        fail("Another log entry was committed in its place.");
      }
    }

    void fail(String why) {
      answer.completeExceptionally(new ControlException("The command was lost. " + why));
    }
  }
}
