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
 * Retries a write that the disk refuses, as a full one does, until the disk accepts it.
 *
 * <p>Invariant: the writing thread blocks meanwhile, so nothing that depends on the write is sent.
 * The voter keeps running, but casts no vote and acknowledges no log entry. Thread-safe.
 */
public final class FullDiskRetry implements WriteFailureHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_DELAY_MILLIS = 100;

  private final Counter refused;

  public FullDiskRetry(MetricRegistry metrics) {
    this.refused = metrics.counter("control.disk.refusedWrites");
  }

  @Override
  public void onWriteFailed(Path file, int attempts, IOException cause) {
    refused.inc();
    if (attempts == 1) {
      logger.atWarning().log(
          "event=disk_refuses_writes file=%s cause=\"%s\"", file, cause.getMessage());
    }
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StorageException(
          "Interrupted while waiting for disk space to write " + file + ".", e);
    }
  }

  @Override
  public void onWriteRecovered(Path file, int attempts) {
    logger.atInfo().log("event=disk_takes_writes file=%s tries=%d", file, attempts);
  }
}
