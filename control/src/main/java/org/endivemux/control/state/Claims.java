package org.endivemux.control.state;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.endivemux.control.state.Command.AbandonClaims;
import org.endivemux.control.state.Command.FinishClaim;
import org.endivemux.control.state.Command.MarkOutcomeUnknown;
import org.endivemux.control.state.Command.OpenClaim;
import org.endivemux.control.state.Command.ReleaseClaim;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.IdempotencyTime;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Outcome;
import org.endivemux.model.Reason;
import org.endivemux.statechart.StateChart;

/**
 * Keeps the claims on calls that may run at most once.
 *
 * <p>Invariants: at most one owner may send a call, ever, unless an owner has released it unsent; a
 * claim is forgotten only when its key is too old to be claimed again. Confined to the state
 * machine's thread.
 */
final class Claims {
  /** How long outcomes are kept, counted from the time inside the key. */
  static final Duration RETENTION = Duration.ofHours(24);

  /** How far a caller's clock may run ahead. */
  static final Duration AHEAD = Duration.ofMinutes(5);

  /** How long a call may be under way before its outcome counts as unknown. */
  static final Duration LONGEST_CALL = Duration.ofMinutes(5);

  private static final StateChart<ClaimState, ClaimEvent> CHART =
      StateChart.load("claim.yaml", ClaimState.class, ClaimEvent.class);

  private final Map<ClaimKey, Claim> claims = new HashMap<>();

  CommandResult open(OpenClaim command, long nowMillis) {
    Optional<CommandResult> ageProblem = ageProblem(command.key(), nowMillis);
    if (ageProblem.isPresent()) {
      return ageProblem.get();
    }
    ClaimKey id = new ClaimKey(command.organisation(), command.key());
    Claim known = claims.get(id);
    if (known == null) {
      claims.put(id, fresh(command, nowMillis));
      return new CommandResult.ClaimGranted();
    }
    if (!known.requestDigest().equals(command.requestDigest())) {
      return refused(Reason.IDEMPOTENCY_KEY_REUSED);
    }
    return answerKnown(id, known, command, nowMillis);
  }

  private static Claim fresh(OpenClaim command, long nowMillis) {
    return new Claim(
        command.organisation(),
        command.key(),
        command.requestDigest(),
        command.owner(),
        CHART.initial(),
        nowMillis,
        Optional.empty());
  }

  private CommandResult answerKnown(ClaimKey id, Claim known, OpenClaim command, long nowMillis) {
    boolean sameOwner = known.owner().equals(command.owner());
    return switch (known.state()) {
      case DONE -> new CommandResult.ClaimDone(known.outcome().orElseThrow());
      case UNKNOWN -> refused(Reason.OUTCOME_LOST);
      case OPEN -> sameOwner ? new CommandResult.ClaimGranted() : answerOpen(id, known, nowMillis);
      case RELEASED ->
          sameOwner ? refused(Reason.CONTROL_UNAVAILABLE) : regrant(id, known, command, nowMillis);
    };
  }

  private CommandResult answerOpen(ClaimKey id, Claim known, long nowMillis) {
    if (nowMillis - known.openedAtMillis() < LONGEST_CALL.toMillis()) {
      return refused(Reason.IN_PROGRESS);
    }
    move(id, known, ClaimEvent.ABANDONED, Optional.empty());
    return refused(Reason.OUTCOME_LOST);
  }

  private CommandResult regrant(ClaimKey id, Claim known, OpenClaim command, long nowMillis) {
    ClaimState state = CHART.require(known.state(), ClaimEvent.GRANTED);
    claims.put(id, known.grantedTo(command.owner(), state, nowMillis));
    return new CommandResult.ClaimGranted();
  }

  CommandResult finish(FinishClaim command) {
    return close(
        new ClaimKey(command.organisation(), command.key()),
        command.owner(),
        ClaimEvent.FINISHED,
        Optional.of(command.outcome()));
  }

  CommandResult release(ReleaseClaim command) {
    return close(
        new ClaimKey(command.organisation(), command.key()),
        command.owner(),
        ClaimEvent.RELEASED,
        Optional.empty());
  }

  CommandResult markOutcomeUnknown(MarkOutcomeUnknown command) {
    return close(
        new ClaimKey(command.organisation(), command.key()),
        command.owner(),
        ClaimEvent.ABANDONED,
        Optional.empty());
  }

  private CommandResult close(
      ClaimKey id, ClaimOwner owner, ClaimEvent event, Optional<Outcome> outcome) {
    Claim known = claims.get(id);
    if (known == null || !known.owner().equals(owner)) {
      return refused(Reason.OUTCOME_NOT_FOUND);
    }
    boolean allowed = CHART.next(known.state(), event).isPresent();
    if (allowed) {
      move(id, known, event, outcome);
    }
    return new CommandResult.Done();
  }

  CommandResult abandon(AbandonClaims command) {
    List<ClaimKey> abandoned =
        claims.entrySet().stream()
            .filter(claim -> isOwnedBy(claim.getValue(), command))
            .map(Map.Entry::getKey)
            .toList();
    abandoned.forEach(id -> move(id, claims.get(id), ClaimEvent.ABANDONED, Optional.empty()));
    return new CommandResult.Done();
  }

  private static boolean isOwnedBy(Claim claim, AbandonClaims command) {
    return claim.state() == ClaimState.OPEN
        && claim.owner().vm().equals(command.vm())
        && claim.owner().incarnation().equals(command.incarnation());
  }

  private void move(ClaimKey id, Claim claim, ClaimEvent event, Optional<Outcome> outcome) {
    claims.put(id, claim.inState(CHART.require(claim.state(), event), outcome));
  }

  private static Optional<CommandResult> ageProblem(IdempotencyKey key, long nowMillis) {
    OptionalLong made = IdempotencyTime.millis(key);
    if (made.isEmpty() || made.getAsLong() > nowMillis + AHEAD.toMillis()) {
      return Optional.of(refused(Reason.IDEMPOTENCY_KEY_MALFORMED));
    }
    return made.getAsLong() < nowMillis - RETENTION.toMillis()
        ? Optional.of(refused(Reason.IDEMPOTENCY_KEY_TOO_OLD))
        : Optional.empty();
  }

  private static CommandResult refused(Reason reason) {
    return new CommandResult.Refused(reason, reason.summary());
  }

  /** Forgets claims whose keys are refused by age anyway. */
  void forgetOld(long nowMillis) {
    long oldest = nowMillis - RETENTION.toMillis();
    claims.keySet().removeIf(id -> IdempotencyTime.millis(id.key()).orElse(0) < oldest);
  }

  Optional<Claim> find(OrganisationId organisation, IdempotencyKey key) {
    return Optional.ofNullable(claims.get(new ClaimKey(organisation, key)));
  }

  int size() {
    return claims.size();
  }

  List<Claim> all() {
    return List.copyOf(claims.values());
  }

  void restore(List<Claim> saved) {
    claims.clear();
    claims.putAll(
        saved.stream()
            .collect(
                Collectors.toMap(
                    claim -> new ClaimKey(claim.organisation(), claim.key()),
                    Function.identity())));
  }

  private record ClaimKey(OrganisationId organisation, IdempotencyKey key) {}
}
