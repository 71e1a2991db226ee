package org.endivemux.control.state;

import java.util.List;
import org.endivemux.model.UsageLine;

/**
 * Final totals of one usage window, sorted by organisation and class.
 *
 * <p>Only {@code reported} differs between copies of a window. Immutable and thread-safe.
 */
public record UsageWindow(
    long number, long closedAtMillis, List<UsageLine> lines, boolean reported) {
  public UsageWindow {
    lines = List.copyOf(lines);
  }

  UsageWindow markReported() {
    return new UsageWindow(number, closedAtMillis, lines, true);
  }
}
