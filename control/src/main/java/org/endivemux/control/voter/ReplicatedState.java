package org.endivemux.control.voter;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.endivemux.consensus.ConsensusCore.Status;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.state.VersionNote;

/**
 * The replicated state as one member of the log holds it.
 *
 * <p>Invariant: commands and queries run one at a time, in the order of the log. Implementations
 * are thread-safe.
 */
public interface ReplicatedState {
  /**
   * Proposes a command.
   *
   * @return the command's answer once it is committed; fails with {@link
   *     org.endivemux.control.ControlException} when this member is not the leader or the log entry
   *     was lost, and may never complete when leadership is lost
   */
  CompletableFuture<CommandResult> submit(Command command);

  /** Proposes a command without effect that carries a note; completes as {@link #submit} does. */
  CompletableFuture<CommandResult> submit(VersionNote note);

  /** Runs a query between two commands. */
  <T> CompletableFuture<T> read(Function<ControlState, T> query);

  /** Adds a listener that is called when the entries' view has changed; it must not block. */
  void onViewChanged(Runnable listener);

  /** Returns the latest status. */
  Status status();

  /** Returns the revision of the latest view. */
  long publishedRevision();

  /** Returns whether this member holds the leader's lease now, and so may decide and order. */
  boolean holdsLease();
}
