package org.endivemux.control.state;

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
import org.endivemux.model.Kind;
import org.endivemux.model.OrderId;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Outcome;
import org.endivemux.model.PlanId;
import org.endivemux.model.UsageLine;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.GatewayConfig;

/**
 * Describes what changes the replicated state.
 *
 * <p>Invariant: each command is idempotent by an id that its sender chose, so that a resend after a
 * lost answer changes nothing. All kinds are immutable and thread-safe.
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
  @JsonSubTypes.Type(value = Command.MarkWindowSent.class, name = "sent")
})
public sealed interface Command {
  /**
   * Proposes a declaration.
   *
   * @param base version that the operator saw, or empty for the one in force
   * @param by who asks, as shown to other operators
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

  /** Says that no byte of the call left its owner and that none will. */
  record ReleaseClaim(OrganisationId organisation, IdempotencyKey key, ClaimOwner owner)
      implements Command {}

  /** Says that the call left its owner and that no answer came. */
  record MarkOutcomeUnknown(OrganisationId organisation, IdempotencyKey key, ClaimOwner owner)
      implements Command {}

  /** Says that a process is gone, so that its open claims have no known outcome. */
  record AbandonClaims(VmId vm, Incarnation incarnation) implements Command {}

  record SetLeaving(List<BackendServerId> backendServers, boolean leaving, String by)
      implements Command {
    public SetLeaving {
      backendServers = List.copyOf(backendServers);
    }
  }

  /** Intends to have {@code count} backend servers of a kind in a failure domain. */
  record OpenOrder(OrderId order, FailureDomain failureDomain, Kind kind, String serves, int count)
      implements Command {}

  record CloseOrder(OrderId order, boolean accepted, String detail) implements Command {}

  record RecordUsage(VmId vm, Incarnation incarnation, List<UsageLine> lines) implements Command {
    public RecordUsage {
      lines = List.copyOf(lines);
    }
  }

  /** Closes the usage window with this number; it must be the open one. */
  record CloseWindow(long window) implements Command {}

  record MarkReported(long window) implements Command {}

  /**
   * Brings a gateway configuration into force unless one of the same or a higher version is.
   *
   * @param document what the operator sent, for reading it back
   */
  record PutGatewayConfig(GatewayConfig config, String document) implements Command {}

  /** Fixes the figures of a usage window of the wall clock; the first ones stay. */
  record FinaliseWindow(long window, Map<OrganisationId, Long> requests) implements Command {
    public FinaliseWindow {
      requests = Map.copyOf(requests);
    }
  }

  /** Notes that the platform has accepted a fixed window. */
  record MarkWindowSent(long window) implements Command {}

  /**
   * Holds a command with the leader's wall clock in milliseconds, by which every replica ages
   * state.
   */
  record Stamped(long atMillis, Command command) {}
}
