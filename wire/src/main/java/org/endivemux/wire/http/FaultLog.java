package org.endivemux.wire.http;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.endivemux.wire.http.ResponseFault.Reason;

/** Logs and counts what servers do wrong on the connections of a client. Thread-safe. */
public final class FaultLog implements ExchangeListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String eventPrefix;
  private final LongConsumer strayByteCounter;
  private final Consumer<Reason> faultCounter;

  /**
   * @param eventPrefix tells the servers of one client from those of others in the log
   * @param strayByteCounter is given the number of bytes of each event; thread-safe
   * @param faultCounter is given the reason of each fault; thread-safe
   */
  public FaultLog(
      String eventPrefix, LongConsumer strayByteCounter, Consumer<Reason> faultCounter) {
    this.eventPrefix = eventPrefix;
    this.strayByteCounter = strayByteCounter;
    this.faultCounter = faultCounter;
  }

  @Override
  public void strayBytes(StrayBytes bytes) {
    strayByteCounter.accept(bytes.count());
    logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "event=%sstray_bytes %s", eventPrefix, bytes.logFields());
  }

  @Override
  public void responseFault(ResponseFault fault) {
    faultCounter.accept(fault.reason());
    logger.atWarning().log("event=%sresponse_fault %s", eventPrefix, fault.logFields());
  }
}
