package org.endivemux.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivemux.control.state.Command.ConfirmPlan;
import org.endivemux.control.state.Command.ProposePlan;
import org.endivemux.model.Declaration;
import org.endivemux.model.DeclarationCheck;
import org.endivemux.model.PlanId;
import org.endivemux.model.Reason;

/**
 * Stores plans and the configuration in force.
 *
 * <p>Invariants: the version increases by one with each confirmed plan; a plan's content never
 * changes; confirming a plan again returns the first result. Confined to the state machine's
 * thread.
 */
final class Plans {
  private static final int MAX_RETAINED_PLANS = 1000;

  private final Map<PlanId, Plan> plans = new LinkedHashMap<>();
  private long version;
  private String lastBy = "nobody";
  private Declaration declaration = Declaration.empty();

  CommandResult propose(ProposePlan command) {
    Plan existing = plans.get(command.plan());
    if (existing != null) {
      return existing.hasContentOf(command)
          ? existing.planned()
          : new CommandResult.Refused(
              Reason.PLAN_REUSED,
              "Plan "
                  + command.plan()
                  + " was already created by "
                  + existing.by()
                  + " with different content.");
    }
    List<String> errors = DeclarationCheck.errors(command.declaration());
    if (!errors.isEmpty()) {
      return new CommandResult.Refused(Reason.INVALID_PLAN, String.join(" ", errors));
    }
    Plan created = createPlan(command);
    plans.put(command.plan(), created);
    removeOldest();
    return created.planned();
  }

  private Plan createPlan(ProposePlan command) {
    Declaration proposed = command.declaration();
    CommandResult.Planned planned =
        new CommandResult.Planned(
            command.plan(),
            command.base().orElse(version),
            PlanDifference.lines(declaration, proposed),
            PlanCost.perHour(proposed),
            PlanCost.risks(proposed));
    return new Plan(proposed, command.base(), command.by(), planned, Optional.empty());
  }

  private void removeOldest() {
    List<PlanId> surplus =
        plans.keySet().stream().limit(Math.max(0, plans.size() - MAX_RETAINED_PLANS)).toList();
    surplus.forEach(plans::remove);
  }

  CommandResult confirm(ConfirmPlan command, long revision) {
    Plan plan = plans.get(command.plan());
    if (plan == null) {
      return new CommandResult.Refused(
          Reason.PLAN_UNKNOWN, "Plan " + command.plan() + " is not known.");
    }
    if (plan.confirmed().isPresent()) {
      return plan.confirmed().get();
    }
    if (plan.planned().base() != version) {
      return new CommandResult.Refused(
          Reason.PLAN_CONFLICT,
          "Plan "
              + command.plan()
              + " is based on version "
              + plan.planned().base()
              + ", but "
              + lastBy
              + " has confirmed version "
              + version
              + "; plan again.");
    }
    version++;
    lastBy = command.by();
    declaration = plan.declaration();
    CommandResult.Confirmed confirmed =
        new CommandResult.Confirmed(command.plan(), version, revision, command.by());
    plans.put(command.plan(), plan.confirm(confirmed));
    return confirmed;
  }

  long version() {
    return version;
  }

  Declaration declaration() {
    return declaration;
  }

  Saved save() {
    return new Saved(version, lastBy, declaration, plans.values().stream().toList());
  }

  void restore(Saved saved) {
    version = saved.version();
    lastBy = saved.lastBy();
    declaration = saved.declaration();
    plans.clear();
    saved.plans().forEach(plan -> plans.put(plan.planned().plan(), plan));
  }

  /** A plan that has been proposed. Immutable and thread-safe. */
  record Plan(
      Declaration declaration,
      Optional<Long> base,
      String by,
      CommandResult.Planned planned,
      Optional<CommandResult.Confirmed> confirmed) {
    boolean hasContentOf(ProposePlan command) {
      return declaration.equals(command.declaration()) && base.equals(command.base());
    }

    Plan confirm(CommandResult.Confirmed result) {
      return new Plan(declaration, base, by, planned, Optional.of(result));
    }
  }

  /** The content for a snapshot. Immutable and thread-safe. */
  record Saved(long version, String lastBy, Declaration declaration, List<Plan> plans) {
    static Saved initial() {
      return new Saved(0, "nobody", Declaration.empty(), List.of());
    }
  }
}
