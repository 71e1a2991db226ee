package org.endivemux.control.voter;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.endivemux.storage.StorageException;
import org.endivemux.storage.WriteFailureHandler;

/**
 * Lets a voter wait for room on a full disk.
 *
 * <p>Invariant: the thread that writes waits, so nothing that depends on the write leaves; the
 * voter itself goes on, casts no vote and acknowledges no entry. Thread-safe.
 */
public final class AwaitedRoom implements WriteFailureHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long PAUSE_MILLIS = 100;

  private final Counter refused;

  public AwaitedRoom(MetricRegistry metrics) {
    this.refused = metrics.counter("control.disk.refusedWrites");
  }

  @Override
  public void onWriteFailed(Path file, int tries, IOException cause) {
    refused.inc();
    if (tries == 1) {
      logger.atWarning().log(
          "event=disk_refuses_writes file=%s cause=\"%s\"", file, cause.getMessage());
    }
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StorageException("The wait for room to write " + file + " was ended.", e);
    }
  }

  @Override
  public void onWriteRecovered(Path file, int tries) {
    logger.atInfo().log("event=disk_takes_writes file=%s tries=%d", file, tries);
  }
}
