package org.endivemux.model.crash;

import java.util.List;
import org.endivemux.model.PromptPartId;

/**
 * Holds what an entry tells the leader about crashes of backend servers. Immutable and thread-safe.
 *
 * @param verdictsNumber number of the verdicts that the entry has
 * @param completions number of completed responses to prompts since the entry started
 * @param crashes all recent crashes that the entry has seen
 * @param completed suspected parts that the entry has seen completed
 * @param quarantined the quarantined parts that the entry knows, for a new leader
 */
public record CrashNews(
    long verdictsNumber,
    long completions,
    List<CrashReport> crashes,
    List<CompletedPart> completed,
    List<PromptPartId> quarantined) {
  public CrashNews {
    crashes = List.copyOf(crashes);
    completed = List.copyOf(completed);
    quarantined = List.copyOf(quarantined);
  }

  /** Returns the news of an entry that has seen no crash. */
  public static CrashNews none() {
    return new CrashNews(0, 0, List.of(), List.of(), List.of());
  }
}
