package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.PromptPartId;
import org.endivemux.model.crash.CompletedPart;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.crash.CrashReport;
import org.endivemux.model.crash.PartVerdicts;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Records the prompt parts under which backend servers crashed, as seen by one entry, and applies
 * the leader's verdicts about them.
 *
 * <p>One entry sees too few crashes to find the part that causes them, so it reports what it saw to
 * the leader; see {@link PartQuarantine}. Invariants: a part that was completed after a crash, or
 * shortly before, is not reported for it; only crashes whose server was found gone are reported.
 * Does no I/O and reads no clock: monotonic nanoseconds are passed in. Not thread-safe.
 */
public final class CrashTracker {
  /** How long a crash is reported. */
  static final long REPORTED_NANOS = 60_000_000_000L;

  /** Attempts that break within this time at one server were ended by the same crash. */
  private static final long SAME_CRASH_NANOS = 1_000_000_000L;

  /** A part that was completed this shortly before a crash did not cause it. */
  static final long HARMLESS_NANOS = 5_000_000_000L;

  private static final int MAX_REMEMBERED_PARTS = 4096;
  private static final int MAX_CRASHES = 128;
  private static final int MAX_PARTS_PER_CRASH = 64;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final List<Crash> crashes = new ArrayList<>();
  private final Map<PromptPartId, Long> completedAt = new RecentParts();
  private final Set<PromptPartId> trials = new HashSet<>();
  private long completions;
  private PartVerdicts verdicts = PartVerdicts.none();

  /**
   * Records that an attempt's connection ended early.
   *
   * @return whether the server must be checked; see {@link #serverChecked}
   */
  public boolean attemptBroke(GatewayServer server, PromptShape prompt, long now) {
    Set<PromptPartId> parts = prompt.sharedPartIds();
    if (parts.isEmpty()) {
      return false;
    }
    crashes.removeIf(crash -> now - crash.at > REPORTED_NANOS);
    Optional<Crash> known =
        crashes.stream()
            .filter(crash -> crash.server.equals(server.id()))
            .filter(crash -> now - crash.at < SAME_CRASH_NANOS)
            .findFirst();
    if (known.isEmpty() && crashes.size() >= MAX_CRASHES) {
      return false;
    }
    Crash crash = known.orElseGet(() -> newCrash(server, now));
    parts.stream()
        .filter(part -> !isCompletedSince(part, now - HARMLESS_NANOS))
        .limit(Math.max(0, MAX_PARTS_PER_CRASH - crash.parts.size()))
        .forEach(crash.parts::add);
    return known.isEmpty();
  }

  private boolean isCompletedSince(PromptPartId part, long since) {
    return Optional.ofNullable(completedAt.get(part)).filter(at -> at - since > 0).isPresent();
  }

  private Crash newCrash(GatewayServer server, long now) {
    Crash crash = new Crash(server.id(), now);
    crashes.add(crash);
    return crash;
  }

  /** Records whether a server whose connection ended early is gone. */
  public void serverChecked(BackendServerId server, boolean gone) {
    if (gone) {
      crashes.stream()
          .filter(crash -> crash.server.equals(server))
          .forEach(crash -> crash.confirmed = true);
    } else {
      crashes.removeIf(crash -> crash.server.equals(server) && !crash.confirmed);
    }
  }

  /** Records that a response was completed. */
  public void completed(PromptShape prompt, long now) {
    Set<PromptPartId> parts = prompt.sharedPartIds();
    parts.forEach(part -> completedAt.put(part, now));
    completions += parts.isEmpty() ? 0 : 1;
    crashes.forEach(crash -> crash.parts.removeAll(parts));
  }

  /** Returns what the leader has to know. */
  public CrashNews news(long now) {
    crashes.removeIf(crash -> now - crash.at > REPORTED_NANOS);
    return new CrashNews(
        verdicts.number(),
        completions,
        crashes.stream().filter(crash -> crash.confirmed).map(crash -> crash.report(now)).toList(),
        Stream.concat(verdicts.suspects().stream(), verdicts.quarantined().stream())
            .filter(completedAt::containsKey)
            .map(part -> new CompletedPart(part, millis(now - completedAt.get(part))))
            .toList(),
        verdicts.quarantined());
  }

  private static long millis(long nanos) {
    return nanos / NANOS_PER_MILLI;
  }

  /** Replaces the leader's verdicts. */
  public void update(PartVerdicts newer) {
    verdicts = newer;
    trials.retainAll(newer.quarantined());
    trials.addAll(newer.trials());
  }

  /** Returns whether a prompt has a quarantined part and may not be sent now. */
  public boolean isHeldBack(PromptShape prompt) {
    return !verdicts.quarantined().isEmpty()
        && prompt.sharedPartIds().stream().anyMatch(this::isQuarantinedWithoutTrial);
  }

  private boolean isQuarantinedWithoutTrial(PromptPartId part) {
    return verdicts.quarantined().contains(part) && !trials.contains(part);
  }

  /** Records that a prompt is sent; it uses up the trials of its parts. */
  public void sent(PromptShape prompt) {
    if (!trials.isEmpty()) {
      trials.removeAll(prompt.sharedPartIds());
    }
  }

  /** Remembers when parts were completed last, up to a number of parts. Not thread-safe. */
  private static final class RecentParts extends LinkedHashMap<PromptPartId, Long> {
    private static final long serialVersionUID = 1;

    @Override
    public Long put(PromptPartId part, Long at) {
      remove(part);
      return super.put(part, at);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<PromptPartId, Long> eldest) {
      return size() > MAX_REMEMBERED_PARTS;
    }
  }

  /** One crash; not thread-safe. */
  private static final class Crash {
    private final BackendServerId server;
    private final long at;
    private final Set<PromptPartId> parts = new TreeSet<>();
    private boolean confirmed;

    Crash(BackendServerId server, long at) {
      this.server = server;
      this.at = at;
    }

    CrashReport report(long now) {
      return new CrashReport(server, millis(now - at), List.copyOf(parts));
    }
  }
}
