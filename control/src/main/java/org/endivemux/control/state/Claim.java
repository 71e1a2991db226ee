package org.endivemux.control.state;

import java.util.Optional;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Outcome;

/**
 * Claim on one call that may run at most once.
 *
 * <p>Invariant: the outcome is present if and only if the state is DONE. Immutable and thread-safe.
 */
public record Claim(
    OrganisationId organisation,
    IdempotencyKey key,
    String requestDigest,
    ClaimOwner owner,
    ClaimState state,
    long openedAtMillis,
    Optional<Outcome> outcome) {
  Claim withState(ClaimState newState, Optional<Outcome> newOutcome) {
    return new Claim(organisation, key, requestDigest, owner, newState, openedAtMillis, newOutcome);
  }

  Claim grantedTo(ClaimOwner newOwner, ClaimState newState, long atMillis) {
    return new Claim(
        organisation, key, requestDigest, newOwner, newState, atMillis, Optional.empty());
  }
}
