package org.endivemux.wire;

import java.util.concurrent.atomic.AtomicReference;

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
    ABANDONED
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.UNDECIDED);

  /** Returns whether the request may be written now; true at most once. */
  public boolean trySend() {
    return state.compareAndSet(State.UNDECIDED, State.SENT);
  }

  /** Returns whether no byte of the request has been or ever will be written. */
  public boolean tryAbandon() {
    return state.compareAndSet(State.UNDECIDED, State.ABANDONED) || state.get() == State.ABANDONED;
  }

  /** Returns whether a byte may have been sent so far; an undecided attempt may still be sent. */
  public boolean mayHaveSent() {
    return state.get() == State.SENT;
  }
}
