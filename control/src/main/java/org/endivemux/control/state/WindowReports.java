package org.endivemux.control.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.endivemux.model.OrganisationId;

/**
 * Stores wall-clock usage windows whose counts are final.
 *
 * <p>Invariant: the counts of a final window never change, so that every report of it carries the
 * same counts. Confined to the state machine's thread.
 */
public final class WindowReports {
  private static final int MAX_RETAINED_WINDOWS = 200;

  private final TreeMap<Long, FinalWindow> windows = new TreeMap<>();

  CommandResult finalise(Command.FinaliseWindow command) {
    boolean alreadyRemoved = !windows.isEmpty() && command.window() < windows.firstKey();
    if (!alreadyRemoved) {
      windows.putIfAbsent(
          command.window(), new FinalWindow(command.window(), command.requests(), false));
    }
    while (windows.size() > MAX_RETAINED_WINDOWS) {
      windows.pollFirstEntry();
    }
    return new CommandResult.Done();
  }

  CommandResult markSent(Command.MarkWindowSent command) {
    windows.computeIfPresent(command.window(), (window, finalWindow) -> finalWindow.markSent());
    return new CommandResult.Done();
  }

  /** Returns the number of the latest final window. */
  public OptionalLong latest() {
    return windows.isEmpty() ? OptionalLong.empty() : OptionalLong.of(windows.lastKey());
  }

  /** Returns the oldest window that the platform has not accepted yet. */
  public Optional<FinalWindow> firstUnsent() {
    return windows.values().stream().filter(finalWindow -> !finalWindow.sent()).findFirst();
  }

  Saved save() {
    return new Saved(List.copyOf(windows.values()));
  }

  void restore(Saved saved) {
    windows.clear();
    saved.windows().forEach(finalWindow -> windows.put(finalWindow.window(), finalWindow));
  }

  /** Final request counts of one window, by organisation. Immutable and thread-safe. */
  public record FinalWindow(long window, Map<OrganisationId, Long> requests, boolean sent) {
    public FinalWindow {
      requests = Map.copyOf(requests);
    }

    FinalWindow markSent() {
      return new FinalWindow(window, requests, true);
    }
  }

  /** The content for a snapshot. Immutable and thread-safe. */
  record Saved(List<FinalWindow> windows) {
    static Saved initial() {
      return new Saved(List.of());
    }
  }
}
