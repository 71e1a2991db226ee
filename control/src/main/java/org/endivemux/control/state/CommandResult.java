package org.endivemux.control.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.endivemux.model.Outcome;
import org.endivemux.model.PlanId;
import org.endivemux.model.Reason;

/** Result of applying a {@link Command}. All implementations are immutable and thread-safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = CommandResult.Done.class, name = "done"),
  @JsonSubTypes.Type(value = CommandResult.Refused.class, name = "refused"),
  @JsonSubTypes.Type(value = CommandResult.GatewayConfigStored.class, name = "stored"),
  @JsonSubTypes.Type(value = CommandResult.EvacuationStored.class, name = "evacuation"),
  @JsonSubTypes.Type(value = CommandResult.Planned.class, name = "planned"),
  @JsonSubTypes.Type(value = CommandResult.Confirmed.class, name = "confirmed"),
  @JsonSubTypes.Type(value = CommandResult.ClaimGranted.class, name = "granted"),
  @JsonSubTypes.Type(value = CommandResult.ClaimDone.class, name = "outcome")
})
public sealed interface CommandResult {
  /** The command has taken effect, now or when it was applied earlier. */
  record Done() implements CommandResult {}

  /** An order of an operator that entries carry out is stored, or a newer one of its kind is. */
  sealed interface Stored extends CommandResult {
    /** Returns the revision from which the views of entries hold the order or a newer one. */
    long revision();
  }

  /**
   * The configuration of the gateway is stored, or a newer one is.
   *
   * @param revision revision from which the views of entries hold it or a newer one
   */
  record GatewayConfigStored(long revision) implements Stored {}

  /**
   * A failure domain is evacuated, or is no longer, now or since the order was applied earlier.
   *
   * @param revision revision from which the views of entries hold this
   */
  record EvacuationStored(long revision) implements Stored {}

  /** The command was refused and changed nothing. */
  record Refused(Reason reason, String detail) implements CommandResult {}

  /**
   * A stored plan, as shown to operators.
   *
   * @param base version of the configuration that the plan is based on
   * @param differences human-readable lines, one for each addition, removal or change
   */
  record Planned(
      PlanId plan, long base, List<String> differences, double costPerHour, List<String> risks)
      implements CommandResult {
    public Planned {
      differences = List.copyOf(differences);
      risks = List.copyOf(risks);
    }
  }

  /** The plan is confirmed; {@code revision} is the log index of its confirmation. */
  record Confirmed(PlanId plan, long version, long revision, String by) implements CommandResult {}

  record ClaimGranted() implements CommandResult {}

  record ClaimDone(Outcome outcome) implements CommandResult {}
}
