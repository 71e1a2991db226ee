package org.endivemux.control.voter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.VmId;

/**
 * Sums the samples of server speeds that entries report, for each backend server.
 *
 * <p>Soft state: an entry's samples are left out when it has not reported any for {@value
 * #REPORT_EXPIRY_NANOS} nanoseconds. A poll costs the same with few entries and with many.
 * Thread-safe.
 */
final class FleetSpeeds {
  /** Speeds are static, so samples of an entry that restarts stay useful for a while. */
  private static final long REPORT_EXPIRY_NANOS = 60_000_000_000L;

  /** Bounds the memory that one entry's reports take, should its servers change often. */
  private static final int MAX_SERVERS_PER_ENTRY = 4096;

  private final Map<VmId, Map<Integer, SpeedAt>> reports = new HashMap<>();
  private final Map<VmId, Long> reportedAt = new HashMap<>();
  private final Map<Integer, SpeedAt> total = new HashMap<>();

  /** Replaces an entry's samples at the named servers; returns the sums over all entries there. */
  synchronized List<SpeedAt> exchange(VmId vm, List<SpeedAt> speeds, long now) {
    if (speeds.isEmpty()) {
      return List.of();
    }
    removeSilent(now);
    reportedAt.put(vm, now);
    Map<Integer, SpeedAt> known = reports.computeIfAbsent(vm, none -> new HashMap<>());
    List<SpeedAt> taken = speeds.stream().limit(SpeedAt.MAX_PER_MESSAGE).toList();
    taken.forEach(speed -> replace(known, speed));
    return taken.stream()
        .map(speed -> total.getOrDefault(speed.server(), empty(speed.server())))
        .toList();
  }

  private void replace(Map<Integer, SpeedAt> known, SpeedAt speed) {
    boolean fits = known.size() < MAX_SERVERS_PER_ENTRY || known.containsKey(speed.server());
    if (speed.samples() <= 0 || !fits) {
      return;
    }
    SpeedAt previous = known.put(speed.server(), speed);
    if (previous != null) {
      add(previous.negated());
    }
    add(speed);
  }

  private void removeSilent(long now) {
    List<VmId> silent =
        reportedAt.entrySet().stream()
            .filter(entry -> now - entry.getValue() >= REPORT_EXPIRY_NANOS)
            .map(Map.Entry::getKey)
            .toList();
    silent.forEach(
        vm -> {
          reportedAt.remove(vm);
          reports.remove(vm).values().forEach(speed -> add(speed.negated()));
        });
  }

  private void add(SpeedAt part) {
    total.merge(
        part.server(),
        part,
        (known, more) -> {
          SpeedAt sum = known.plus(more);
          return sum.samples() == 0 ? null : sum;
        });
  }

  private static SpeedAt empty(int server) {
    return new SpeedAt(server, 0, 0, 0);
  }
}
