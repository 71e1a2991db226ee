package org.endivemux.control.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Declaration;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.Incarnation;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyRole;
import org.endivemux.model.OrderId;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Outcome;
import org.endivemux.model.PlanId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.UsageLine;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayConfigUpdate;
import org.endivemux.wire.Packed;

/**
 * Change of the replicated state.
 *
 * <p>Invariant: each command is idempotent by an id that its sender chose, so that sending it again
 * after a lost reply changes nothing. All implementations are immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Command.ProposePlan.class, name = "plan"),
  @JsonSubTypes.Type(value = Command.ConfirmPlan.class, name = "confirm"),
  @JsonSubTypes.Type(value = Command.CreateKey.class, name = "key+"),
  @JsonSubTypes.Type(value = Command.WithdrawKey.class, name = "key-"),
  @JsonSubTypes.Type(value = Command.OpenClaim.class, name = "claim"),
  @JsonSubTypes.Type(value = Command.FinishClaim.class, name = "finish"),
  @JsonSubTypes.Type(value = Command.ReleaseClaim.class, name = "release"),
  @JsonSubTypes.Type(value = Command.MarkOutcomeUnknown.class, name = "lose"),
  @JsonSubTypes.Type(value = Command.AbandonClaims.class, name = "abandon"),
  @JsonSubTypes.Type(value = Command.SetLeaving.class, name = "leaving"),
  @JsonSubTypes.Type(value = Command.OpenOrder.class, name = "order"),
  @JsonSubTypes.Type(value = Command.CloseOrder.class, name = "ordered"),
  @JsonSubTypes.Type(value = Command.RecordUsage.class, name = "usage"),
  @JsonSubTypes.Type(value = Command.CloseWindow.class, name = "window"),
  @JsonSubTypes.Type(value = Command.MarkReported.class, name = "reported"),
  @JsonSubTypes.Type(value = Command.PutGatewayConfig.class, name = "gateway"),
  @JsonSubTypes.Type(value = Command.FinaliseWindow.class, name = "fix"),
  @JsonSubTypes.Type(value = Command.MarkWindowSent.class, name = "sent"),
  @JsonSubTypes.Type(value = Command.StartEvacuation.class, name = "evacuate"),
  @JsonSubTypes.Type(value = Command.EndEvacuation.class, name = "return")
})
public sealed interface Command {
  /**
   * Proposes a declaration.
   *
   * @param base version that the operator has seen; empty stands for the version in force
   * @param by who proposes the plan, as shown to other operators
   */
  record ProposePlan(PlanId plan, Optional<Long> base, Declaration declaration, String by)
      implements Command {}

  record ConfirmPlan(PlanId plan, String by) implements Command {}

  record CreateKey(KeyDigest digest, OrganisationId organisation, KeyRole role, String label)
      implements Command {}

  /** Withdraws the key whose digest starts with {@code digestPrefix}. */
  record WithdrawKey(String digestPrefix, String by) implements Command {}

  record OpenClaim(
      OrganisationId organisation, IdempotencyKey key, String requestDigest, ClaimOwner owner)
      implements Command {}

  record FinishClaim(
      OrganisationId organisation, IdempotencyKey key, ClaimOwner owner, Outcome outcome)
      implements Command {}

  /** Releases a claim whose owner has sent no byte of the call and will send none. */
  record ReleaseClaim(OrganisationId organisation, IdempotencyKey key, ClaimOwner owner)
      implements Command {}

  /** Records that a call may have run, but that its owner has no outcome to record. */
  record MarkOutcomeUnknown(OrganisationId organisation, IdempotencyKey key, ClaimOwner owner)
      implements Command {}

  /** Marks the outcomes of the open claims of a process as unknown, because the process is gone. */
  record AbandonClaims(VmId vm, Incarnation incarnation) implements Command {}

  record SetLeaving(List<BackendServerId> backendServers, boolean leaving, String by)
      implements Command {
    public SetLeaving {
      backendServers = List.copyOf(backendServers);
    }
  }

  /** Records the intent to have {@code count} backend servers of a kind in a failure domain. */
  record OpenOrder(
      OrderId order, FailureDomain failureDomain, ServerKind kind, String serves, int count)
      implements Command {}

  record CloseOrder(OrderId order, boolean accepted, String detail) implements Command {}

  record RecordUsage(VmId vm, Incarnation incarnation, List<UsageLine> lines) implements Command {
    public RecordUsage {
      lines = List.copyOf(lines);
    }
  }

  /** Closes the usage window with this number; has no effect unless it is the open one. */
  record CloseWindow(long window) implements Command {}

  record MarkReported(long window) implements Command {}

  /**
   * Puts a gateway configuration into force if its version is higher than the one in force.
   *
   * @param whole a {@link GatewayConfigUpdate} that holds the configuration as a whole
   * @param document bytes that the operator sent, returned when the configuration is read
   */
  record PutGatewayConfig(
      long version, Packed whole, @JsonProperty("packedDocument") Packed document)
      implements Command {
    /** Throws {@link IllegalArgumentException} if a build with another format has written it. */
    public PutGatewayConfig {
      GatewayConfigHistory.checkFormat(whole, document);
    }

    public static PutGatewayConfig of(GatewayConfig config, byte[] document) {
      return new PutGatewayConfig(
          config.version(), Packed.of(GatewayConfigUpdate.whole(config)), Packed.of(document));
    }
  }

  /** Makes the counts of a wall-clock usage window final; has no effect if they already are. */
  record FinaliseWindow(long window, Map<OrganisationId, Long> requests) implements Command {
    public FinaliseWindow {
      requests = Map.copyOf(requests);
    }
  }

  /** Records that the platform has accepted the report of a final window. */
  record MarkWindowSent(long window) implements Command {}

  /**
   * Evacuates a failure domain: its backend servers get no new requests. Has no effect while the
   * domain is evacuated.
   */
  record StartEvacuation(FailureDomain failureDomain) implements Command {}

  /** Ends the evacuation of a failure domain; has no effect unless it is evacuated. */
  record EndEvacuation(FailureDomain failureDomain) implements Command {}

  /** Returns a command without effect, which carries a {@link VersionNote}. */
  static Command noChange() {
    return new SetLeaving(List.of(), false, "");
  }

  /**
   * A command with the leader's wall-clock time in Unix milliseconds. Every replica uses this time
   * to expire state, so that all replicas expire the same state at the same log index.
   *
   * @param note a change of the {@link StreamVersions}; not a command, so that voters of an earlier
   *     version, which would end at an unknown command, pass over it
   */
  record Stamped(
      long atMillis,
      Command command,
      @JsonInclude(JsonInclude.Include.NON_ABSENT) Optional<VersionNote> note) {
    public Stamped {
      note = note == null ? Optional.empty() : note;
    }

    public Stamped(long atMillis, Command command) {
      this(atMillis, command, Optional.empty());
    }
  }
}
