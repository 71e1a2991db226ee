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
 * Stores the claims on calls that may run at most once.
 *
 * <p>Invariants: a call is granted to a second owner only after the first one has released it
 * unsent; a claim is removed only when its key is too old to be claimed again. Confined to the
 * state machine's thread.
 */
final class Claims {
  /** How long outcomes are retained, counted from the creation time in the key. */
  static final Duration RETENTION = Duration.ofHours(24);

  /** How far in the future a key's creation time may lie, to tolerate callers' clock skew. */
  static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(5);

  /** Age from which an open claim counts as abandoned when its key is used again. */
  static final Duration MAX_CALL_DURATION = Duration.ofMinutes(5);

  private static final StateChart<ClaimState, ClaimEvent> CHART =
      StateChart.load("claim.yaml", ClaimState.class, ClaimEvent.class);

  private final Map<ClaimKey, Claim> claims = new HashMap<>();

  CommandResult open(OpenClaim command, long nowMillis) {
    Optional<CommandResult> keyTimeRefusal = keyTimeRefusal(command.key(), nowMillis);
    if (keyTimeRefusal.isPresent()) {
      return keyTimeRefusal.get();
    }
    ClaimKey id = new ClaimKey(command.organisation(), command.key());
    Claim existing = claims.get(id);
    if (existing == null) {
      claims.put(id, newClaim(command, nowMillis));
      return new CommandResult.ClaimGranted();
    }
    if (!existing.requestDigest().equals(command.requestDigest())) {
      return refused(Reason.IDEMPOTENCY_KEY_REUSED);
    }
    return resultForExisting(id, existing, command, nowMillis);
  }

  private static Claim newClaim(OpenClaim command, long nowMillis) {
    return new Claim(
        command.organisation(),
        command.key(),
        command.requestDigest(),
        command.owner(),
        CHART.initial(),
        nowMillis,
        Optional.empty());
  }

  private CommandResult resultForExisting(
      ClaimKey id, Claim existing, OpenClaim command, long nowMillis) {
    boolean sameOwner = existing.owner().equals(command.owner());
    return switch (existing.state()) {
      case DONE -> new CommandResult.ClaimDone(existing.outcome().orElseThrow());
      case UNKNOWN -> refused(Reason.OUTCOME_LOST);
      case OPEN ->
          sameOwner ? new CommandResult.ClaimGranted() : resultForOpen(id, existing, nowMillis);
      case RELEASED ->
          sameOwner
              ? refused(Reason.CONTROL_UNAVAILABLE)
              : regrant(id, existing, command, nowMillis);
    };
  }

  private CommandResult resultForOpen(ClaimKey id, Claim existing, long nowMillis) {
    if (nowMillis - existing.openedAtMillis() < MAX_CALL_DURATION.toMillis()) {
      return refused(Reason.IN_PROGRESS);
    }
    transition(id, existing, ClaimEvent.ABANDONED, Optional.empty());
    return refused(Reason.OUTCOME_LOST);
  }

  private CommandResult regrant(ClaimKey id, Claim existing, OpenClaim command, long nowMillis) {
    ClaimState state = CHART.require(existing.state(), ClaimEvent.GRANTED);
    claims.put(id, existing.grantedTo(command.owner(), state, nowMillis));
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
    Claim existing = claims.get(id);
    if (existing == null || !existing.owner().equals(owner)) {
      return refused(Reason.OUTCOME_NOT_FOUND);
    }
    boolean allowed = CHART.next(existing.state(), event).isPresent();
    if (allowed) {
      transition(id, existing, event, outcome);
    }
    return new CommandResult.Done();
  }

  CommandResult abandon(AbandonClaims command) {
    List<ClaimKey> abandoned =
        claims.entrySet().stream()
            .filter(claim -> isOwnedBy(claim.getValue(), command))
            .map(Map.Entry::getKey)
            .toList();
    abandoned.forEach(id -> transition(id, claims.get(id), ClaimEvent.ABANDONED, Optional.empty()));
    return new CommandResult.Done();
  }

  private static boolean isOwnedBy(Claim claim, AbandonClaims command) {
    return claim.state() == ClaimState.OPEN
        && claim.owner().vm().equals(command.vm())
        && claim.owner().incarnation().equals(command.incarnation());
  }

  private void transition(ClaimKey id, Claim claim, ClaimEvent event, Optional<Outcome> outcome) {
    claims.put(id, claim.withState(CHART.require(claim.state(), event), outcome));
  }

  private static Optional<CommandResult> keyTimeRefusal(IdempotencyKey key, long nowMillis) {
    OptionalLong createdAtMillis = IdempotencyTime.millis(key);
    if (createdAtMillis.isEmpty()
        || createdAtMillis.getAsLong() > nowMillis + MAX_CLOCK_SKEW.toMillis()) {
      return Optional.of(refused(Reason.IDEMPOTENCY_KEY_MALFORMED));
    }
    return createdAtMillis.getAsLong() < nowMillis - RETENTION.toMillis()
        ? Optional.of(refused(Reason.IDEMPOTENCY_KEY_TOO_OLD))
        : Optional.empty();
  }

  private static CommandResult refused(Reason reason) {
    return new CommandResult.Refused(reason, reason.summary());
  }

  /** Removes claims whose keys are already refused as too old. */
  void removeExpired(long nowMillis) {
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
