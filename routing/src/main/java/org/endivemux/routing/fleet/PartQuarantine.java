package org.endivemux.routing.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.PromptPartId;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.crash.PartVerdicts;

/**
 * Finds the prompt parts on which backend servers crash, from the reports of all entries, and
 * quarantines them.
 *
 * <p>A part is quarantined when several servers crashed under it, one after the other, no entry has
 * seen a response to a prompt with it completed since, and most crashes since the first of these
 * happened under it. Of several such parts the one under which most servers crashed is taken, and
 * the crashes that it explains no longer speak against the others. A quarantine ends with the first
 * completed response to a prompt with the part; trials with single prompts, at growing intervals,
 * make that possible. Soft state: a new leader learns the quarantined parts from the entries. Does
 * no I/O and reads no clock: monotonic nanoseconds are passed in. Thread-safe.
 */
public final class PartQuarantine {
  /** Crashes under a part, one after the other, that lead to its quarantine. */
  static final int QUARANTINE_CRASHES = 4;

  /** Crashes under a part from which on entries are asked whether they saw it completed. */
  private static final int SUSPECT_CRASHES = 2;

  /**
   * Share of all crashes that a part must explain. While servers crash often for other reasons,
   * some sound part is cut off several times in a row by chance.
   */
  private static final double MIN_EXPLAINED_SHARE = 0.5;

  /** Time for entries to tell that they saw a suspected part completed: more than one poll. */
  private static final long ANSWER_WAIT_NANOS = 600_000_000L;

  /**
   * Responses that must have been completed since a crash, so that the crash is not a sign that the
   * whole service is down.
   */
  private static final int MIN_OTHER_COMPLETIONS = 5;

  private static final long FIRST_TRIAL_NANOS = 60_000_000_000L;

  /** How long after a change of the leader entries' quarantined parts are taken over. */
  private static final long TAKEOVER_NANOS = 10_000_000_000L;

  /** A silent entry's news count for no longer than the crashes that they tell of. */
  private static final long NEWS_EXPIRY_NANOS = CrashTracker.REPORTED_NANOS;

  private static final long NUMBERS_PER_TERM = 1_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<VmId, Long> completions = new HashMap<>();

  /** Completions of all entries when the leader first heard of a server's crash. */
  private final Map<BackendServerId, Long> completionsBefore = new HashMap<>();

  private long totalCompletions;
  private final Map<VmId, Crashes.Received> news = new HashMap<>();
  private final Map<PromptPartId, Long> completedAt = new HashMap<>();
  private final Map<PromptPartId, Long> suspectSince = new TreeMap<>();
  private final Map<PromptPartId, Quarantine> quarantined = new TreeMap<>();
  private long term = -1;
  private long termSince;
  private long changes;

  /** Adds an entry's news; returns whether the verdicts for the other entries have changed. */
  public synchronized boolean add(VmId entry, CrashNews received, long ofTerm, long now) {
    startTerm(ofTerm, now);
    Set<PromptPartId> suspectsBefore = Set.copyOf(suspectSince.keySet());
    Set<PromptPartId> quarantinedBefore = Set.copyOf(quarantined.keySet());
    record(entry, received, now);
    if (news.isEmpty() && suspectSince.isEmpty() && quarantined.isEmpty()) {
      return false;
    }
    quarantined.entrySet().removeIf(part -> isCompletedSince(part.getKey(), part.getValue()));
    judge(now);
    boolean changed =
        !suspectsBefore.equals(suspectSince.keySet())
            || !quarantinedBefore.equals(quarantined.keySet());
    changes += changed ? 1 : 0;
    return changed;
  }

  private void startTerm(long ofTerm, long now) {
    if (ofTerm != term) {
      term = ofTerm;
      termSince = now;
      changes = 0;
      news.clear();
      completionsBefore.clear();
      completedAt.clear();
      suspectSince.clear();
      quarantined.clear();
    }
  }

  private void record(VmId entry, CrashNews received, long now) {
    long known = completions.getOrDefault(entry, received.completions());
    totalCompletions += Math.max(0, received.completions() - known);
    completions.put(entry, received.completions());
    news.values().removeIf(older -> now - older.at() > NEWS_EXPIRY_NANOS);
    completedAt.values().removeIf(at -> now - at > NEWS_EXPIRY_NANOS);
    if (received.crashes().isEmpty()) {
      news.remove(entry);
    } else {
      news.put(entry, new Crashes.Received(received.crashes(), now));
    }
    received
        .completed()
        .forEach(
            part ->
                completedAt.merge(
                    part.part(), now - part.ageMillis() * NANOS_PER_MILLI, Math::max));
    if (now - termSince < TAKEOVER_NANOS) {
      received.quarantined().stream()
          .filter(part -> !completedAt.containsKey(part))
          .forEach(part -> quarantine(part, now));
    }
  }

  private void quarantine(PromptPartId part, long now) {
    quarantined.putIfAbsent(part, new Quarantine(now));
  }

  private boolean isCompletedSince(PromptPartId part, Quarantine quarantine) {
    return completedAt.getOrDefault(part, Long.MIN_VALUE) > quarantine.since;
  }

  private void judge(long now) {
    Crashes unexplained =
        Crashes.reportedIn(news.values())
            .withoutParts(this::isHarmless)
            .of(this::isServiceWorking)
            .underNoneOf(quarantined.keySet());
    updateSuspects(unexplained, now);
    Optional<PromptPartId> culprit = culprit(unexplained, now);
    while (culprit.isPresent()) {
      quarantine(culprit.get(), now);
      unexplained = unexplained.underNoneOf(quarantined.keySet());
      updateSuspects(unexplained, now);
      culprit = culprit(unexplained, now);
    }
  }

  private boolean isHarmless(PromptPartId part, long crashedAt) {
    return Optional.ofNullable(completedAt.get(part))
        .filter(at -> at > crashedAt - CrashTracker.HARMLESS_NANOS)
        .isPresent();
  }

  private boolean isServiceWorking(BackendServerId crashed) {
    long before = completionsBefore.computeIfAbsent(crashed, server -> totalCompletions);
    return totalCompletions - before >= MIN_OTHER_COMPLETIONS;
  }

  private void updateSuspects(Crashes crashes, long now) {
    Set<PromptPartId> suspects =
        crashes.parts().stream()
            .filter(part -> crashes.countUnder(part) >= SUSPECT_CRASHES)
            .collect(Collectors.toCollection(TreeSet::new));
    suspectSince.keySet().retainAll(suspects);
    suspects.forEach(part -> suspectSince.putIfAbsent(part, now));
  }

  /** Returns the part to quarantine; of equal ones, one that was not completed at all lately. */
  private Optional<PromptPartId> culprit(Crashes crashes, long now) {
    return suspectSince.keySet().stream()
        .max(
            Comparator.comparingInt((PromptPartId part) -> crashes.countUnder(part))
                .thenComparing(part -> !completedAt.containsKey(part))
                .thenComparing(Comparator.reverseOrder()))
        .filter(part -> now - suspectSince.get(part) >= ANSWER_WAIT_NANOS)
        .filter(part -> explainsMost(part, crashes));
  }

  private static boolean explainsMost(PromptPartId part, Crashes crashes) {
    int explained = crashes.countUnder(part);
    return explained >= QUARANTINE_CRASHES
        && explained >= MIN_EXPLAINED_SHARE * crashes.countSinceFirstUnder(part);
  }

  /** Returns the verdicts for an entry, and grants it the trials that are due. */
  public synchronized PartVerdicts verdicts(long now) {
    return new PartVerdicts(
        number(),
        List.copyOf(suspectSince.keySet()),
        List.copyOf(quarantined.keySet()),
        quarantined.entrySet().stream()
            .filter(part -> part.getValue().takeTrial(now))
            .map(Map.Entry::getKey)
            .toList());
  }

  /**
   * Returns the number of the current verdicts: zero before the first change of a term, so that
   * entries without any verdict count as up to date.
   */
  public synchronized long number() {
    return changes == 0 ? 0 : term * NUMBERS_PER_TERM + changes;
  }

  /** Returns the quarantined parts. */
  public synchronized List<PromptPartId> quarantined() {
    return List.copyOf(quarantined.keySet());
  }

  /** One quarantine; the time until the next trial doubles. */
  private static final class Quarantine {
    private final long since;
    private long interval = FIRST_TRIAL_NANOS;
    private long nextTrialAt;

    Quarantine(long since) {
      this.since = since;
      this.nextTrialAt = since + interval;
    }

    boolean takeTrial(long now) {
      boolean due = now >= nextTrialAt;
      if (due) {
        interval *= 2;
        nextTrialAt = now + interval;
      }
      return due;
    }
  }
}
