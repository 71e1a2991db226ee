package org.endivemux.wire;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

/**
 * Decides whether an attempt to send a request is sent or abandoned.
 *
 * <p>Invariants: the first decision is final; a byte is written only after {@link #trySend} has
 * returned true, and an attempt counts as not sent only after {@link #tryAbandon} has returned
 * true, so that an attempt which counts as not sent never writes a byte later. Thread-safe.
 */
public final class SendMarker {
  private enum State {
    UNDECIDED,
    SENT,
    HELD_BACK,
    ABANDONED
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.UNDECIDED);
  private volatile BooleanSupplier maySend;

  public SendMarker() {
    this(() -> true);
  }

  /**
   * @param maySend is asked right before the request would be written; the attempt is held back,
   *     which abandons it, if the answer is false
   */
  public SendMarker(BooleanSupplier maySend) {
    this.maySend = maySend;
  }

  /**
   * Adds a condition that has to hold, too, right before the request would be written; called
   * before the request is handed over to be written.
   */
  public void require(BooleanSupplier condition) {
    BooleanSupplier earlier = maySend;
    maySend = () -> earlier.getAsBoolean() && condition.getAsBoolean();
  }

  /** Returns whether the request may be written now; true at most once. */
  public boolean trySend() {
    State wanted = maySend.getAsBoolean() ? State.SENT : State.HELD_BACK;
    return state.compareAndSet(State.UNDECIDED, wanted) && wanted == State.SENT;
  }

  /** Returns whether no byte of the request has been or ever will be written. */
  public boolean tryAbandon() {
    return state.compareAndSet(State.UNDECIDED, State.ABANDONED) || state.get() != State.SENT;
  }

  /** Returns whether the request was abandoned because it might not be sent when it could be. */
  public boolean isHeldBack() {
    return state.get() == State.HELD_BACK;
  }

  /** Returns whether a byte may have been sent so far; an undecided attempt may still be sent. */
  public boolean mayHaveSent() {
    return state.get() == State.SENT;
  }
}
