package org.endivemux.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Limits the number of bytes that several bodies take in memory together.
 *
 * <p>Invariants: no more than the capacity is granted at a time; requests that wait are granted in
 * order of arrival. Thread-safe; what waits in {@link #use} is cancelled on the thread that gives
 * bytes back.
 */
public final class ByteBudget {
  private final long capacity;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private long granted;

  /**
   * @param capacity number of bytes
   */
  public ByteBudget(long capacity) {
    this.capacity = capacity;
  }

  /**
   * Takes bytes as soon as there is room, and gives them back when what uses them has ended.
   *
   * @param bytes how many bytes are taken; at most the capacity
   * @param use what is subscribed to once the bytes are taken
   */
  public <T> Mono<T> use(long bytes, Mono<T> use) {
    if (bytes > capacity) {
      throw new IllegalArgumentException(bytes + " bytes exceed the budget of " + capacity + ".");
    }
    return Mono.defer(() -> awaitTurn(new Waiting(bytes, Sinks.one())))
        .flatMap(taken -> use.doFinally(signal -> giveBack(taken)));
  }

  private Mono<Long> awaitTurn(Waiting request) {
    synchronized (this) {
      waiting.addLast(request);
    }
    grant();
    return request.turn().asMono().doOnCancel(() -> abandon(request));
  }

  /** Takes bytes if there is room at once; returns whether there was. */
  public synchronized boolean tryTake(long bytes) {
    boolean fits = waiting.isEmpty() && granted + bytes <= capacity;
    granted += fits ? bytes : 0;
    return fits;
  }

  /** Gives back bytes that were taken. */
  public void giveBack(long bytes) {
    synchronized (this) {
      granted -= bytes;
    }
    grant();
  }

  private void grant() {
    for (Waiting next = nextThatFits(); next != null; next = nextThatFits()) {
      var unused = next.turn().tryEmitValue(next.bytes());
    }
  }

  private synchronized Waiting nextThatFits() {
    Waiting first = waiting.peekFirst();
    if (first == null || granted + first.bytes() > capacity) {
      return null;
    }
    granted += first.bytes();
    return waiting.removeFirst();
  }

  private void abandon(Waiting request) {
    synchronized (this) {
      waiting.remove(request);
    }
    grant();
  }

  private record Waiting(long bytes, Sinks.One<Long> turn) {}
}
