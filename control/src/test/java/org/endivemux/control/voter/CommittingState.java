package org.endivemux.control.voter;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.endivemux.consensus.ConsensusCore.Status;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.state.VersionNote;

/** Commits notes at once, or never while it is stalled. Confined to one test. */
final class CommittingState implements ReplicatedState {
  final ControlState state = new ControlState();
  final List<VersionNote> notes = new ArrayList<>();
  boolean isStalled;
  private final Clocks clocks;
  private long index;

  CommittingState(Clocks clocks) {
    this.clocks = clocks;
  }

  @Override
  public CompletableFuture<CommandResult> submit(VersionNote note) {
    notes.add(note);
    return isStalled
        ? new CompletableFuture<>()
        : CompletableFuture.completedFuture(
            state.apply(
                ++index,
                new Command.Stamped(clocks.millis(), Command.noChange(), Optional.of(note))));
  }

  @Override
  public CompletableFuture<CommandResult> submit(Command command) {
    throw new AssertionError("Only notes are written.");
  }

  @Override
  public <T> CompletableFuture<T> read(Function<ControlState, T> query) {
    return CompletableFuture.completedFuture(query.apply(state));
  }

  @Override
  public void onViewChanged(Runnable listener) {}

  @Override
  public Status status() {
    throw new AssertionError("The status is not asked for.");
  }

  @Override
  public long publishedRevision() {
    return 0;
  }

  @Override
  public boolean holdsLease() {
    return true;
  }
}
