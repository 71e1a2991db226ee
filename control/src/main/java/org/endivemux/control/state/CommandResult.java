package org.endivemux.control.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.endivemux.model.Outcome;
import org.endivemux.model.PlanId;
import org.endivemux.model.Reason;

/** Describes the answers to commands. All kinds are immutable and thread-safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = CommandResult.Done.class, name = "done"),
  @JsonSubTypes.Type(value = CommandResult.Refused.class, name = "refused"),
  @JsonSubTypes.Type(value = CommandResult.Planned.class, name = "planned"),
  @JsonSubTypes.Type(value = CommandResult.Confirmed.class, name = "confirmed"),
  @JsonSubTypes.Type(value = CommandResult.ClaimGranted.class, name = "granted"),
  @JsonSubTypes.Type(value = CommandResult.ClaimDone.class, name = "outcome")
})
public sealed interface CommandResult {
  /** Says that the command has taken effect, now or before. */
  record Done() implements CommandResult {}

  /** Says why nothing was changed. */
  record Refused(Reason reason, String detail) implements CommandResult {}

  /**
   * Shows a plan.
   *
   * @param differences readable lines, each one addition, removal or change
   */
  record Planned(
      PlanId plan, long base, List<String> differences, double costPerHour, List<String> risks)
      implements CommandResult {
    public Planned {
      differences = List.copyOf(differences);
      risks = List.copyOf(risks);
    }
  }

  /** Shows that a plan is accepted; {@code revision} is its place in the log. */
  record Confirmed(PlanId plan, long version, long revision, String by) implements CommandResult {}

  record ClaimGranted() implements CommandResult {}

  record ClaimDone(Outcome outcome) implements CommandResult {}
}
