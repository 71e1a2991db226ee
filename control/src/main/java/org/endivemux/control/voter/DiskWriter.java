package org.endivemux.control.voter;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.endivemux.consensus.Effects;
import org.endivemux.consensus.Effects.Persist;
import org.endivemux.consensus.Envelope;
import org.endivemux.storage.DataFolder;

/**
 * Writes and syncs what the core wants persisted, in groups and on a separate thread.
 *
 * <p>Invariants: messages that depend on a sync are sent after it, in order; a failed sync is never
 * retried but ends the process through {@code fatal}. Thread-safe.
 */
final class DiskWriter implements Runnable {
  private final DataFolder folder;
  private final Consumer<Envelope> sender;
  private final LongConsumer synced;
  private final Consumer<Throwable> fatal;
  private final Timer syncTime;
  private final Histogram groupSize;
  private final BlockingQueue<Effects> queue = new LinkedBlockingQueue<>();

  DiskWriter(
      DataFolder folder,
      Consumer<Envelope> sender,
      LongConsumer synced,
      Consumer<Throwable> fatal,
      MetricRegistry metrics) {
    this.folder = folder;
    this.sender = sender;
    this.synced = synced;
    this.fatal = fatal;
    this.syncTime = metrics.timer("control.sync");
    this.groupSize = metrics.histogram("control.syncGroup");
  }

  void write(Effects effects) {
    queue.add(effects);
  }

  @Override
  public void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        writeNextGroup();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      fatal.accept(e);
    }
  }

  /** Waits for effects, then writes and syncs all that are queued. */
  void writeNextGroup() throws InterruptedException {
    List<Effects> group = new ArrayList<>();
    group.add(queue.take());
    queue.drainTo(group);
    sync(group);
  }

  boolean isIdle() {
    return queue.isEmpty();
  }

  private void sync(List<Effects> group) {
    List<Persist> steps = group.stream().flatMap(effects -> effects.persist().stream()).toList();
    if (!steps.isEmpty()) {
      groupSize.update(steps.size());
      syncTime.time(() -> folder.write(steps));
    }
    group.stream().flatMap(effects -> effects.afterPersist().stream()).forEach(sender);
    group.stream().filter(Effects::needsPersist).mapToLong(Effects::step).max().ifPresent(synced);
  }
}
