package org.endivemux.model.crash;

import java.util.List;
import org.endivemux.model.PromptPartId;

/**
 * Holds the leader's conclusions from the crashes that all entries have reported. Immutable and
 * thread-safe.
 *
 * @param number identifies the verdicts, but for the trials
 * @param suspects parts whose completions the leader wants to hear of
 * @param quarantined parts whose prompts must not be sent to backend servers
 * @param trials quarantined parts of which this entry may send one prompt
 */
public record PartVerdicts(
    long number,
    List<PromptPartId> suspects,
    List<PromptPartId> quarantined,
    List<PromptPartId> trials) {
  public PartVerdicts {
    suspects = List.copyOf(suspects);
    quarantined = List.copyOf(quarantined);
    trials = List.copyOf(trials);
  }

  /** Returns the verdicts before any crash. */
  public static PartVerdicts none() {
    return new PartVerdicts(0, List.of(), List.of(), List.of());
  }
}
