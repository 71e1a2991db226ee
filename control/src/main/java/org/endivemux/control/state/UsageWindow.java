package org.endivemux.control.state;

import java.util.List;
import org.endivemux.model.UsageLine;

/**
 * Holds the final figures of one window, in a fixed order.
 *
 * <p>Invariant: only {@code reported} ever changes. Immutable and thread-safe.
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
