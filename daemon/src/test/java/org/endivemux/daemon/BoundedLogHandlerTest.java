package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/**
 * Tests that excess log lines are dropped and counted, and severe lines are exempt from the rate
 * limit.
 */
final class BoundedLogHandlerTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final AtomicLong nanos = new AtomicLong();
  private final BoundedLogHandler handler =
      new BoundedLogHandler(new PrintStream(out, true, StandardCharsets.UTF_8), nanos::get);

  private void logLines(int lines) {
    IntStream.range(0, lines)
        .forEach(i -> handler.publish(new LogRecord(Level.INFO, "event=flood n=" + i)));
  }

  private String written() {
    handler.flush();
    return out.toString(StandardCharsets.UTF_8);
  }

  @Example
  void excessLinesAreDroppedAndCounted() {
    logLines(1000);
    nanos.set(1_500_000_000L);
    logLines(1);
    assertThat(written().lines()).hasSize(BoundedLogHandler.LINES_PER_SECOND + 2);
    assertThat(written()).contains("event=log_left_out lines=700");
  }

  @Example
  void severeLinesAreWrittenBeyondTheRateLimit() {
    logLines(1000);
    handler.publish(new LogRecord(Level.SEVERE, "event=fatal"));
    assertThat(written()).contains("event=fatal");
  }
}
