package org.endivemux.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Assigns an engine's slots by priority, then by arrival. Thread-safe. */
final class Slots {
  private final int size;
  private final PriorityQueue<Waiting> queue =
      new PriorityQueue<>(
          Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::arrival));
  private int used;
  private long nextArrival;

  Slots(int size) {
    this.size = size;
  }

  Mono<Boolean> acquire(int priority) {
    return Mono.create(sink -> assignOrEnqueue(priority, sink));
  }

  private void assignOrEnqueue(int priority, MonoSink<Boolean> sink) {
    synchronized (this) {
      if (used >= size) {
        Waiting waiting = new Waiting(priority, nextArrival++, sink);
        queue.add(waiting);
        sink.onCancel(() -> dequeue(waiting));
        return;
      }
      used++;
    }
    sink.success(true);
  }

  private synchronized void dequeue(Waiting waiting) {
    queue.remove(waiting);
  }

  void release() {
    Waiting next;
    synchronized (this) {
      next = queue.poll();
      if (next == null) {
        used--;
        return;
      }
    }
    next.sink().success(true);
  }

  synchronized int used() {
    return used;
  }

  synchronized int waiting() {
    return queue.size();
  }

  double load() {
    return (double) used() / size;
  }

  private record Waiting(int priority, long arrival, MonoSink<Boolean> sink) {}
}
