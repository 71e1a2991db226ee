package org.endivemux.control.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.endivemux.model.OrganisationId;

/**
 * Keeps usage windows of the wall clock whose figures are fixed.
 *
 * <p>Invariant: the figures of a fixed window never change, so that every report of it carries the
 * same. Confined to the state machine's thread.
 */
public final class WindowReports {
  private static final int KEPT = 200;

  private final TreeMap<Long, FinalWindow> windows = new TreeMap<>();

  CommandResult finalise(Command.FinaliseWindow command) {
    boolean forgotten = !windows.isEmpty() && command.window() < windows.firstKey();
    if (!forgotten) {
      windows.putIfAbsent(
          command.window(), new FinalWindow(command.window(), command.requests(), false));
    }
    while (windows.size() > KEPT) {
      windows.pollFirstEntry();
    }
    return new CommandResult.Done();
  }

  CommandResult markSent(Command.MarkWindowSent command) {
    windows.computeIfPresent(command.window(), (window, fixed) -> fixed.markSent());
    return new CommandResult.Done();
  }

  /** Returns the number of the latest fixed window. */
  public OptionalLong latest() {
    return windows.isEmpty() ? OptionalLong.empty() : OptionalLong.of(windows.lastKey());
  }

  /** Returns the oldest window that the platform has not accepted yet. */
  public Optional<FinalWindow> firstUnsent() {
    return windows.values().stream().filter(fixed -> !fixed.sent()).findFirst();
  }

  Saved save() {
    return new Saved(List.copyOf(windows.values()));
  }

  void restore(Saved saved) {
    windows.clear();
    saved.windows().forEach(fixed -> windows.put(fixed.window(), fixed));
  }

  /** Holds the figures of one window. Immutable and thread-safe. */
  public record FinalWindow(long window, Map<OrganisationId, Long> requests, boolean sent) {
    public FinalWindow {
      requests = Map.copyOf(requests);
    }

    FinalWindow markSent() {
      return new FinalWindow(window, requests, true);
    }
  }

  /** Holds the content for a snapshot. Immutable and thread-safe. */
  record Saved(List<FinalWindow> windows) {
    static Saved blank() {
      return new Saved(List.of());
    }
  }
}
