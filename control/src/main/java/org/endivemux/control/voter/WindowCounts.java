package org.endivemux.control.voter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.Incarnation;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.WindowCount;

/**
 * Collects what entries counted in recent usage windows, until the windows are fixed.
 *
 * <p>Soft state: entries send running totals, so a repeated report adds nothing, and a new leader
 * receives all of them again. Thread-safe.
 */
public final class WindowCounts {
  private static final int MAX_WINDOWS = 40;

  private final TreeMap<Long, Map<Source, Map<OrganisationId, Long>>> windows = new TreeMap<>();
  private final Map<VmId, Long> completeUntil = new HashMap<>();

  synchronized void add(EntryInfo entry, List<WindowCount> counts, long trueMillis) {
    Source source = new Source(entry.vm(), entry.incarnation());
    counts.forEach(
        count ->
            windows
                .computeIfAbsent(count.window(), none -> new HashMap<>())
                .computeIfAbsent(source, none -> new HashMap<>())
                .merge(count.organisation(), count.requests(), Math::max));
    completeUntil.merge(entry.vm(), trueMillis, Math::max);
    while (windows.size() > MAX_WINDOWS) {
      windows.pollFirstEntry();
    }
  }

  /** Returns the first window with a count. */
  synchronized OptionalLong first() {
    return windows.isEmpty() ? OptionalLong.empty() : OptionalLong.of(windows.firstKey());
  }

  /** Returns whether each of the entries has sent its counts at or after an instant. */
  synchronized boolean isComplete(List<EntryInfo> entries, long trueMillis) {
    return entries.stream()
        .allMatch(entry -> completeUntil.getOrDefault(entry.vm(), 0L) >= trueMillis);
  }

  /** Returns the sum over all entries for a window. */
  synchronized Map<OrganisationId, Long> total(long window) {
    return windows.getOrDefault(window, Map.of()).values().stream()
        .flatMap(counts -> counts.entrySet().stream())
        .collect(
            Collectors.groupingBy(Map.Entry::getKey, Collectors.summingLong(Map.Entry::getValue)));
  }

  private record Source(VmId vm, Incarnation incarnation) {}
}
